import {Refusal} from '@marigoldspur/faults';
import {isRepeatable, type Job} from './job.js';

const RETRY_AFTER_SECONDS = 1;

/**
 * Returns the refusal of a job if control last confirmed the settings too long
 * ago, at `lastConfirmedAt`; undefined if the job may run. Jobs with an
 * idempotency key are not refused here, because claiming the key contacts
 * control anyway.
 */
export function refuseIfIsolated(
  job: Pick<Job, 'key' | 'settings'>,
  lastConfirmedAt: number,
  now: number,
): Refusal | undefined {
  const {isolationBoundMs, whileIsolated} = job.settings;
  const isIsolated = now - lastConfirmedAt > isolationBoundMs;
  if (!isIsolated || job.key !== undefined) {
    return undefined;
  }
  if (isRepeatable(job) && whileIsolated === 'serve') {
    return undefined;
  }
  return new Refusal(
    'not-run',
    503,
    'isolated',
    'this entry has lost contact with control',
    RETRY_AFTER_SECONDS,
  );
}
