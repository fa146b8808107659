import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {readSystemStatus} from './system-status.js';

/** Progress of the rollout of a revision. */
export interface RolloutProgress {
  /** Number of processes that have the revision in force. */
  readonly inForce: number;
  /** Number of processes that were reached. */
  readonly reached: number;
  /** Number of processes that are unreachable. */
  readonly unreachable: number;
}

const POLL_INTERVAL_MS = 200;

/**
 * Waits until every reachable process has a revision in force. Fails with `TIMEOUT` at the
 * session's deadline, and with the fault of reading the members if that fails.
 */
export async function waitUntilInForce(
  session: OperatorSession,
  revision: number,
  onProgress: (progress: RolloutProgress) => void,
): Promise<Result<RolloutProgress, Fault>> {
  const deadline = session.getDeadline();
  let lastProgress = '';
  for (;;) {
    const {rows, fault} = await readSystemStatus(session);
    if (fault !== undefined) {
      return Result.err(fault);
    }
    const reached = rows.filter(row => row.state !== 'unreachable');
    const progress = {
      inForce: reached.filter(row => row.revision >= revision).length,
      reached: reached.length,
      unreachable: rows.length - reached.length,
    };
    if (JSON.stringify(progress) !== lastProgress) {
      lastProgress = JSON.stringify(progress);
      onProgress(progress);
    }
    if (progress.inForce === progress.reached) {
      return Result.ok(progress);
    }
    if (performance.now() > deadline) {
      const {inForce} = progress;
      const message = `revision ${revision} is in force in only ${inForce} of ${progress.reached} processes`;
      return Result.err(new Fault('TIMEOUT', message));
    }
    await pause(POLL_INTERVAL_MS);
  }
}
