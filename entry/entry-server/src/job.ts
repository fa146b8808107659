import type {IncomingHttpHeaders} from 'node:http';
import type {CallerRequest} from '@marigoldspur/caller-api';
import type {Settings} from '@marigoldspur/settings-schema';

/** One request that is being served. */
export interface Job {
  /** Request ID. */
  readonly id: string;
  /** When it arrived at the earliest, as a `performance.now()` time. */
  readonly startedAt: number;
  readonly request: CallerRequest;
  /** Effective settings of the requested service or adapter. */
  readonly settings: Settings;
  /** Revision of the settings. */
  readonly revision: number;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | undefined;
  /** Aborts when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
  /**
   * Aborts when the run has to end: at the deadline, shortly before the entry
   * ends and, if the job may be repeated, also when the caller disconnects.
   */
  readonly signal: AbortSignal;
  /**
   * Releases the resources of the job's signal; must be called when the job has
   * ended.
   */
  readonly dispose: () => void;
}

/** Whether a job may run twice. */
export function isRepeatable(job: Pick<Job, 'key' | 'settings'>): boolean {
  return job.key === undefined && job.settings.repeatable;
}

/** Time until the job's deadline at time `now`, in milliseconds. */
export function remainingMs(job: Job, now: number): number {
  return job.settings.requestTimeoutMs - (now - job.startedAt);
}
