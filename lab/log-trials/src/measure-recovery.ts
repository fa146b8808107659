import {ClaimLoad} from './claim-load.js';
import {ControlGroup} from './control-group.js';

/** How long a replica takes to be back after a kill. */
export interface RecoveryTime {
  readonly commands: number;
  readonly snapshot: boolean;
  /** From the start of the process to having opened its log, in milliseconds. */
  readonly openedMs: number;
  /** From the start of the process to having applied all that was committed, in milliseconds. */
  readonly caughtUpMs: number;
  /** The same where its disk was lost, so that all comes from the leader. */
  readonly replacedMs: number;
}

const PROPOSERS = 64;
const SNAPSHOT_ENTRIES = 100;
const NEVER = 1_000_000_000;

/** Measures recovery of a replica over the length of the log. */
export async function measureRecovery(
  lengths: readonly number[],
): Promise<RecoveryTime[]> {
  const results: RecoveryTime[] = [];
  for (const snapshot of [false, true]) {
    for (const commands of lengths) {
      results.push(await measureOne(commands, snapshot));
    }
  }
  return results;
}

async function measureOne(
  commands: number,
  snapshot: boolean,
): Promise<RecoveryTime> {
  const entries = snapshot ? SNAPSHOT_ENTRIES : NEVER;
  const group = await ControlGroup.start({
    count: 3,
    flags: ['--snapshot-entries', String(entries)],
  });
  const load = new ClaimLoad(group.client, {
    proposers: Math.min(PROPOSERS, commands),
    limit: commands,
  });
  await load.done();
  const leader = await group.leader();
  const follower = group.hosts.find(host => host !== leader)!;
  await group.kill(follower);
  const restarted = await timeRestart(group, follower);
  await group.loseDisk(follower);
  const replaced = await timeRestart(group, follower);
  await group.stop();
  return {
    commands,
    snapshot,
    openedMs: restarted.openedMs,
    caughtUpMs: restarted.caughtUpMs,
    replacedMs: replaced.caughtUpMs,
  };
}

async function timeRestart(
  group: ControlGroup,
  follower: ControlGroup['hosts'][number],
): Promise<{openedMs: number; caughtUpMs: number}> {
  const leader = await group.leader();
  const wanted = (await group.status(leader))!.commitIndex;
  const startedAt = performance.now();
  group.run(follower);
  await follower.child!.line(line => line.includes('"name":"log-opened"'));
  const openedMs = Math.round(performance.now() - startedAt);
  await group.applied(follower, wanted);
  const caughtUpMs = Math.round(performance.now() - startedAt);
  return {openedMs, caughtUpMs};
}
