import {setTimeout as delay} from 'node:timers/promises';
import {takeClaim} from './claim-load.js';
import {ControlGroup, type ControlHost} from './control-group.js';

/** How a leader is lost. */
export type LeaderFault = 'kill' | 'freeze' | 'cut' | 'drain';

/** Times without a leader after one kind of fault, in milliseconds. */
export interface LeaderlessTimes {
  readonly fault: LeaderFault;
  /** From the fault to the first command that is accepted again, each time. */
  readonly untilAcceptedMs: readonly number[];
}

const FAULTS: readonly LeaderFault[] = ['kill', 'freeze', 'cut', 'drain'];
const PROBE_TIMEOUT_MS = 300;
const PROBE_PAUSE_MS = 10;

/** Measures how long no command is accepted after the loss of a leader. */
export async function measureLeaderless(
  replicas: number,
  repeats: number,
): Promise<LeaderlessTimes[]> {
  const group = await ControlGroup.start({
    count: replicas,
    flags: ['--log-level', 'warn'],
  });
  const results: LeaderlessTimes[] = [];
  for (const fault of FAULTS) {
    const untilAcceptedMs: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      untilAcceptedMs.push(await measureOnce(group, fault, repeat));
    }
    results.push({fault, untilAcceptedMs});
  }
  await group.stop();
  return results;
}

async function measureOnce(
  group: ControlGroup,
  fault: LeaderFault,
  repeat: number,
): Promise<number> {
  const leader = await group.leader();
  const others = group.hosts.filter(host => host !== leader);
  const startedAt = performance.now();
  const mend = await strike(group, leader, fault);
  await firstAccepted(group, others, `${fault}-${repeat}`);
  const elapsedMs = Math.round(performance.now() - startedAt);
  await mend();
  await group.whole();
  return elapsedMs;
}

/** Loses a leader; the answer mends it. */
async function strike(
  group: ControlGroup,
  leader: ControlHost,
  fault: LeaderFault,
): Promise<() => Promise<void>> {
  switch (fault) {
    case 'kill':
      await group.kill(leader);
      return async () => group.run(leader);
    case 'freeze':
      leader.child?.signal('SIGSTOP');
      return async () => leader.child?.signal('SIGCONT');
    case 'cut':
      group.isolate(leader, true);
      return async () => group.isolate(leader, false);
    case 'drain': {
      const drained = group.drain(leader);
      return async () => {
        await drained;
        group.run(leader);
      };
    }
  }
}

/** Asks the others in turn, each time for a short while, until one accepts. */
async function firstAccepted(
  group: ControlGroup,
  others: readonly ControlHost[],
  key: string,
): Promise<void> {
  const client = group.clientOf(others);
  try {
    for (;;) {
      const timeoutMs = PROBE_TIMEOUT_MS;
      const outcome = await takeClaim(client, key, 'probe', {timeoutMs});
      if (outcome !== undefined) {
        return;
      }
      await delay(PROBE_PAUSE_MS);
    }
  } finally {
    client.close();
  }
}
