import {ClaimLoad} from './claim-load.js';
import {ControlHostGroup} from './control-host-group.js';

/** Time that a replica takes to recover after it was killed. */
export interface RecoveryTime {
  /** Number of commands in the log. */
  readonly commands: number;
  /** Whether replicas save snapshots. */
  readonly snapshot: boolean;
  /** Time from the start of the process until its log is open, in milliseconds. */
  readonly openedMs: number;
  /** Time from the start of the process until it has applied all committed entries, in milliseconds. */
  readonly caughtUpMs: number;
  /** Like `caughtUpMs`, but after the replica lost its disk, so that it gets all entries from the leader. */
  readonly replacedMs: number;
}

const PROPOSERS = 64;
const SNAPSHOT_ENTRIES = 100;
const UNREACHABLE_SNAPSHOT_ENTRIES = 1_000_000_000;

/** Measures the recovery time of a replica for each length of the log, in commands, without and with snapshots. */
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
  hasSnapshots: boolean,
): Promise<RecoveryTime> {
  const entries = hasSnapshots
    ? SNAPSHOT_ENTRIES
    : UNREACHABLE_SNAPSHOT_ENTRIES;
  const group = await ControlHostGroup.start({
    replicas: 3,
    flags: ['--snapshot-entries', String(entries)],
  });
  const load = new ClaimLoad(group.client, {
    proposers: Math.min(PROPOSERS, commands),
    limit: commands,
  });
  await load.waitUntilDone();
  const leader = await group.waitForLeader();
  const follower = group.hosts.find(host => host !== leader)!;
  await group.kill(follower);
  const restarted = await measureRestart(group, follower);
  await group.loseDisk(follower);
  const replaced = await measureRestart(group, follower);
  await group.stop();
  return {
    commands,
    snapshot: hasSnapshots,
    openedMs: restarted.openedMs,
    caughtUpMs: restarted.caughtUpMs,
    replacedMs: replaced.caughtUpMs,
  };
}

async function measureRestart(
  group: ControlHostGroup,
  follower: ControlHostGroup['hosts'][number],
): Promise<{openedMs: number; caughtUpMs: number}> {
  const leader = await group.waitForLeader();
  const commitIndex = (await group.fetchStatus(leader))!.commitIndex;
  const startedAt = performance.now();
  group.startProcess(follower);
  await follower.child!.waitForLine(line =>
    line.includes('"name":"log-opened"'),
  );
  const openedMs = Math.round(performance.now() - startedAt);
  await group.waitUntilApplied(follower, commitIndex);
  const caughtUpMs = Math.round(performance.now() - startedAt);
  return {openedMs, caughtUpMs};
}
