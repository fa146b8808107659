import {setTimeout as delay} from 'node:timers/promises';
import {takeClaim} from './claim-load.js';
import {ControlHostGroup, type ControlHost} from './control-host-group.js';

/** Kind of a fault of the leader. */
export type LeaderFault = 'kill' | 'freeze' | 'cut' | 'drain';

/** Times without a working leader after one kind of fault. */
export interface LeaderlessTimes {
  readonly fault: LeaderFault;
  /** Time from each fault to the next accepted command, in milliseconds. */
  readonly untilAcceptedMs: readonly number[];
}

const FAULTS: readonly LeaderFault[] = ['kill', 'freeze', 'cut', 'drain'];
const PROBE_TIMEOUT_MS = 300;
const PROBE_INTERVAL_MS = 10;

/** Measures how long no command is accepted after a fault of the leader. */
export async function measureLeaderless(
  replicas: number,
  repeats: number,
): Promise<LeaderlessTimes[]> {
  const group = await ControlHostGroup.start({
    replicas,
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
  group: ControlHostGroup,
  fault: LeaderFault,
  repeat: number,
): Promise<number> {
  const leader = await group.waitForLeader();
  const others = group.hosts.filter(host => host !== leader);
  const startedAt = performance.now();
  const undoFault = await injectFault(group, leader, fault);
  await waitUntilAccepted(group, others, `${fault}-${repeat}`);
  const elapsedMs = Math.round(performance.now() - startedAt);
  await undoFault();
  await group.waitUntilCaughtUp();
  return elapsedMs;
}

/** Injects a fault into the leader; the returned function undoes it. */
async function injectFault(
  group: ControlHostGroup,
  leader: ControlHost,
  fault: LeaderFault,
): Promise<() => Promise<void>> {
  switch (fault) {
    case 'kill':
      await group.kill(leader);
      return async () => group.startProcess(leader);
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
        group.startProcess(leader);
      };
    }
  }
}

/** Sends claims with a short timeout to the other hosts until one accepts a claim. */
async function waitUntilAccepted(
  group: ControlHostGroup,
  others: readonly ControlHost[],
  key: string,
): Promise<void> {
  const client = group.createClient(others);
  try {
    for (;;) {
      const timeoutMs = PROBE_TIMEOUT_MS;
      const outcome = await takeClaim(client, key, 'probe', {timeoutMs});
      if (outcome !== undefined) {
        return;
      }
      await delay(PROBE_INTERVAL_MS);
    }
  } finally {
    client.close();
  }
}
