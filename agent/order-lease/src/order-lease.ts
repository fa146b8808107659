/** Options of an order lease. */
export interface OrderLeaseOptions {
  /** How long a confirmation by control holds, in milliseconds; equal in all agents. */
  readonly leaseMs: number;
  /** Longest time of an order, in milliseconds. */
  readonly orderMs: number;
  /** Whether the target refuses orders with an old fencing number. */
  readonly fenceChecked: boolean;
}

/** The grant of a fencing number. */
export interface FenceGrantTiming {
  /** When it was known, in milliseconds. */
  readonly at: number;
  /** For how long before no earlier agent was confirmed, in milliseconds; infinite where there was none. */
  readonly silentMs: number;
}

/** Time for what the agent before sent at the end of its lease to arrive, in milliseconds. */
const ARRIVAL_MARGIN_MS = 500;

/**
 * Decides when an agent may give orders to its target and forward requests to it.
 * Where the target knows the fencing number, the number decides; else the agent needs
 * a lease confirmed by control, and waits until the lease of any agent before it is
 * over. A target that checks numbers is taken over only once it was shown this one: the
 * agent before may go on by its number though its lease is over. Times are of a monotonic clock, which goes on while the process is frozen.
 */
export class OrderLease {
  private confirmedAt = -Infinity;
  private revoked = false;
  private fenceKnown = false;

  constructor(
    private readonly options: OrderLeaseOptions,
    private readonly granted: FenceGrantTiming,
  ) {}

  /** Takes note that control confirmed the fencing number in answer to a call sent at `sentAt`. */
  recordConfirmation(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  /** Takes note that the target was shown the fencing number. */
  recordFenceShown(): void {
    this.fenceKnown = this.options.fenceChecked;
  }

  /** Takes note that the target restarted and has forgotten fencing numbers. */
  recordFenceForgotten(): void {
    this.fenceKnown = false;
  }

  /** Takes note that a newer fencing number was granted or that the target refused this one. */
  revoke(): void {
    this.revoked = true;
  }

  /** Whether a newer agent took over. */
  get isRevoked(): boolean {
    return this.revoked;
  }

  /** Whether this agent is confirmed, so that it may show its number or wait to take over. */
  isConfirmed(now: number): boolean {
    return !this.revoked && now < this.confirmedAt + this.options.leaseMs;
  }

  /**
   * Whether the target may be taken over: no agent before may give orders any more,
   * and none of its orders runs. `loading` is the number of loads that the target
   * says it runs; undefined where it does not tell.
   */
  canTakeOver(now: number, loading: number | undefined): boolean {
    const {fenceChecked, leaseMs, orderMs} = this.options;
    const {at, silentMs} = this.granted;
    if (fenceChecked && !this.fenceKnown) {
      return false;
    }
    const leaseOver = at - silentMs + leaseMs + ARRIVAL_MARGIN_MS;
    const from = fenceChecked ? at : leaseOver;
    const ordersOver =
      loading === undefined ? now >= from + orderMs : loading === 0;
    return this.isValid(now) && now >= from && ordersOver;
  }

  /** Whether orders may be given and requests forwarded after taking over. */
  isValid(now: number): boolean {
    return !this.revoked && (this.fenceKnown || this.isConfirmed(now));
  }

  /** How long ago control last confirmed, in milliseconds. */
  sinceConfirmationMs(now: number): number {
    return now - this.confirmedAt;
  }
}
