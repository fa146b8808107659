/** What follows a failed attempt to listen. */
export interface PortWaitStep {
  /** Time until the next attempt, in milliseconds. */
  readonly retryInMs: number;
  /** Whether the wait is to be reported now. */
  readonly isReported: boolean;
  /** Time since the first attempt, in milliseconds. */
  readonly waitedMs: number;
}

const RETRY_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 60_000;
/** Errors of an attempt to listen that can pass while the process waits. */
const TRANSIENT_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  // The host may get its address after its processes start.
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
]);

/** Decides how a process waits for a port at which it cannot listen yet. */
export class PortWait {
  private reportedAt = -Infinity;

  /** `startedAt` is the time of the first attempt, in milliseconds. */
  constructor(private readonly startedAt: number) {}

  /** Returns what follows an error of an attempt at `now`; undefined if waiting cannot help. */
  next(code: string | undefined, now: number): PortWaitStep | undefined {
    if (code === undefined || !TRANSIENT_CODES.has(code)) {
      return undefined;
    }
    const isReported = now - this.reportedAt >= REPORT_INTERVAL_MS;
    if (isReported) {
      this.reportedAt = now;
    }
    return {
      retryInMs: RETRY_INTERVAL_MS,
      isReported,
      waitedMs: now - this.startedAt,
    };
  }
}
