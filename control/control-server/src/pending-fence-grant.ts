import type {ConfirmationTimes} from '@marigoldspur/membership';

/** A fencing number on its way through the log. */
export class PendingFenceGrant {
  private readonly confirmedAt: number;

  /** Begins at time `now`, in milliseconds. */
  constructor(
    private readonly target: string,
    private readonly confirmations: ConfirmationTimes,
    private readonly now: number,
  ) {
    this.confirmedAt = confirmations.lastConfirmedAt(target);
    confirmations.record(target, now);
  }

  /**
   * How long before `now` an agent of the target was last confirmed, in milliseconds; 0
   * where one was, or where another number was asked for, while this one was on its way.
   */
  silentMs(now: number): number {
    const untouched =
      this.confirmations.lastConfirmedAt(this.target) === this.now;
    return untouched ? Math.max(0, now - this.confirmedAt) : 0;
  }
}
