/** A call that asks for a permit. */
export interface PermitSeeker {
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum time that it waits, in milliseconds. */
  readonly maxWaitMs: number;
  /** Called once with the decision. */
  readonly settle: (decision: PermitDecision) => void;
}

/** Whether a call may be sent. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** Expected time until a permit of this priority is free, in milliseconds; 0 if it is granted. */
  readonly waitMs: number;
}

interface WaitingSeeker {
  readonly seeker: PermitSeeker;
  readonly giveUpAt: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Minimum rate, in requests per second: without any request the entries would not learn that
 * a target takes more again.
 */
const MIN_PER_SECOND = 0.2;
/** Maximum burst, as a share of the requests of a second. */
const BURST_SHARE = 0.25;
/** Maximum burst, in requests; stand-ins of a lost replica must fit beside it. */
const MAX_BURST = 2;

/**
 * Grants permits at a rate, with a small burst. A call that waits is overtaken by more urgent
 * ones. The queue starts without permits, because another process may have granted some.
 */
export class PermitQueue {
  private readonly waiting: WaitingSeeker[] = [];
  private permits = 0;
  private perSecond = MIN_PER_SECOND;

  constructor(private refilledAt: number) {}

  /** Sets the rate, in permits per second, from time `now` on, in milliseconds. */
  setRate(perSecond: number, now: number): void {
    this.refill(now);
    this.perSecond = Math.max(MIN_PER_SECOND, perSecond);
  }

  /** Grants a permit at time `now`, lets the call wait, or refuses it at once if it would wait too long. */
  request(seeker: PermitSeeker, now: number): void {
    this.advance(now);
    const ahead = this.waiting.filter(
      ({seeker: {priority}}) => priority <= seeker.priority,
    ).length;
    const waitMs = this.waitFor(ahead + 1);
    if (waitMs > seeker.maxWaitMs) {
      seeker.settle({isGranted: false, waitMs});
      return;
    }
    const waiting = {seeker, giveUpAt: now + seeker.maxWaitMs};
    this.waiting.splice(ahead, 0, waiting);
    this.advance(now);
  }

  /** Decides at time `now` about the calls that wait. */
  advance(now: number): void {
    this.refill(now);
    while (this.permits >= 1 && this.waiting.length > 0) {
      this.permits -= 1;
      this.waiting.shift()!.seeker.settle({isGranted: true, waitMs: 0});
    }
    for (const late of this.waiting.filter(({giveUpAt}) => giveUpAt <= now)) {
      const index = this.waiting.indexOf(late);
      this.waiting.splice(index, 1);
      const waitMs = this.waitFor(index + 1);
      late.seeker.settle({isGranted: false, waitMs});
    }
  }

  /** Time from the last call until `advance` has to be called again, in milliseconds; undefined if no call waits. */
  nextDueMs(now: number): number | undefined {
    if (this.waiting.length === 0) {
      return undefined;
    }
    const giveUpAt = Math.min(...this.waiting.map(each => each.giveUpAt));
    return Math.max(0, Math.min(this.waitFor(1), giveUpAt - now));
  }

  /** Time until this many permits are free, in milliseconds. */
  private waitFor(count: number): number {
    const missing = Math.max(0, count - this.permits);
    return (missing / this.perSecond) * MS_PER_SECOND;
  }

  private refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.refilledAt = Math.max(now, this.refilledAt);
    const burst = Math.min(MAX_BURST, this.perSecond * BURST_SHARE);
    const refilled = (this.perSecond * elapsedMs) / MS_PER_SECOND;
    this.permits = Math.min(Math.max(1, burst), this.permits + refilled);
  }
}
