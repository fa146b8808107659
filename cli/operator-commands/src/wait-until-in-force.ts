import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {readSystemStatus} from './system-status.js';

/** How far a revision has come. */
export interface RolloutProgress {
  /** Processes that have the revision in force. */
  readonly inForce: number;
  /** Processes that were reached. */
  readonly reached: number;
  /** Processes that are out of reach. */
  readonly unreachable: number;
}

const POLL_MS = 200;

/** Waits until every process that is reached has a revision in force. */
export async function waitUntilInForce(
  session: OperatorSession,
  revision: number,
  onProgress: (progress: RolloutProgress) => void,
): Promise<Result<RolloutProgress, Fault>> {
  const deadline = session.deadline();
  let last = '';
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
    if (JSON.stringify(progress) !== last) {
      last = JSON.stringify(progress);
      onProgress(progress);
    }
    if (progress.inForce === progress.reached) {
      return Result.ok(progress);
    }
    if (performance.now() > deadline) {
      const {inForce} = progress;
      const message = `revision ${revision} is in force in ${inForce} of ${progress.reached} processes`;
      return Result.err(new Fault('TIMEOUT', message));
    }
    await pause(POLL_MS);
  }
}
