import type {ConfirmationTimes} from '@marigoldspur/membership';

/** A fencing number whose grant is being committed to the log. */
export class PendingFenceGrant {
  private readonly confirmedAt: number;

  /** Starts the grant at time `now`, in milliseconds. */
  constructor(
    private readonly target: string,
    private readonly confirmations: ConfirmationTimes,
    private readonly startedAt: number,
  ) {
    this.confirmedAt = confirmations.lastConfirmedAt(target);
    confirmations.record(target, startedAt);
  }

  /**
   * Time from the last confirmation of an agent of the target to `now`, in milliseconds.
   * It is 0 if an agent was confirmed or another number was requested while this grant
   * was pending.
   */
  silentMs(now: number): number {
    const isUnchanged =
      this.confirmations.lastConfirmedAt(this.target) === this.startedAt;
    return isUnchanged ? Math.max(0, now - this.confirmedAt) : 0;
  }
}
