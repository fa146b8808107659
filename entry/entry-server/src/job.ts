import type {IncomingHttpHeaders} from 'node:http';
import type {CallerRequest} from '@marigoldspur/caller-api';
import type {Settings} from '@marigoldspur/settings-schema';

/** One request that is being served. */
export interface Job {
  /** Identity of the request. */
  readonly id: string;
  /** When its head was read, as a `performance.now()` time. */
  readonly startedAt: number;
  readonly request: CallerRequest;
  /** Settings in force for what the request names, and their revision. */
  readonly settings: Settings;
  readonly revision: number;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** The caller's `Idempotency-Key`. */
  readonly key: string | undefined;
  /** Aborts once the caller is gone. */
  readonly callerGone: AbortSignal;
  /** Aborts when the run has to end: at the deadline, or without a caller where that is allowed. */
  readonly signal: AbortSignal;
  /** Frees what the job's signal holds; to be called once the job has ended. */
  readonly end: () => void;
}

/** Whether a job may run twice. */
export function isRepeatable(job: Pick<Job, 'key' | 'settings'>): boolean {
  return job.key === undefined && job.settings.repeatable;
}

/** Milliseconds that a job has left at time `now`. */
export function remainingMs(job: Job, now: number): number {
  return job.settings.requestTimeoutMs - (now - job.startedAt);
}
