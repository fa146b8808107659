import type {CallDurations} from './call-durations.js';

/** What is known of a call before it is sent to a target. */
export interface CallOutlook {
  readonly route: string;
  /** Whether the call may run more than once. */
  readonly isRepeatable: boolean;
  /** Time that a call of the route is assumed to take before one has ended, in milliseconds. */
  readonly assumedMs: number;
}

/** Multiple of its expected time that a call needs if it may not run more than once. */
const UNREPEATABLE_FACTOR = 2;

/** Decides which calls may still be sent to targets while a process shuts down. */
export class DrainAdmission {
  /** Undefined until the shutdown begins. */
  private endsAt: number | undefined;

  constructor(private readonly durations: CallDurations) {}

  /** Records that responses have to end by `endsAt`, in milliseconds. */
  begin(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /** Whether a call that is sent at time `now` is expected to end in time. */
  maySend({assumedMs, isRepeatable, route}: CallOutlook, now: number): boolean {
    if (this.endsAt === undefined) {
      return true;
    }
    const expectedMs = this.durations.expectedMs(route) ?? assumedMs;
    const neededMs = expectedMs * (isRepeatable ? 1 : UNREPEATABLE_FACTOR);
    return now + neededMs <= this.endsAt;
  }
}
