import {Refusal} from '@marigoldspur/faults';
import {isRepeatable, type Job} from './job.js';

const RETRY_SOON_SECONDS = 1;

/**
 * The refusal of a job by an entry that control last confirmed at `lastConfirmed`;
 * undefined where the job may run. What has a key is left to its claim, which asks
 * control itself.
 */
export function isolationRefusal(
  job: Pick<Job, 'key' | 'settings'>,
  lastConfirmed: number,
  now: number,
): Refusal | undefined {
  const {isolationBoundMs, whileIsolated} = job.settings;
  const isolated = now - lastConfirmed > isolationBoundMs;
  if (!isolated || job.key !== undefined) {
    return undefined;
  }
  if (isRepeatable(job) && whileIsolated === 'serve') {
    return undefined;
  }
  return new Refusal(
    'not-run',
    503,
    'isolated',
    'this entry is cut off from control',
    RETRY_SOON_SECONDS,
  );
}
