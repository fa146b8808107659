/** Options of an order lease. */
export interface OrderLeaseOptions {
  /**
   * How long a confirmation by control is valid, in milliseconds. All agents
   * use the same value.
   */
  readonly leaseMs: number;
  /** Maximum duration of an order, in milliseconds. */
  readonly orderMs: number;
  /** Whether the target refuses orders with an outdated fencing number. */
  readonly fenceChecked: boolean;
}

/**
 * When a fencing number was granted and how long the previous agent had been
 * unconfirmed.
 */
export interface FenceGrantTiming {
  /** When the grant was received, in milliseconds. */
  readonly grantedAt: number;
  /**
   * Time from the last confirmation of an earlier agent to the grant, in
   * milliseconds; infinite if there was no earlier agent.
   */
  readonly silentMs: number;
}

/**
 * Time allowed for the delivery of messages that the previous agent sent at the
 * end of its lease.
 */
const DELIVERY_MARGIN_MS = 500;

/**
 * Decides when an agent may send orders and forward requests to its target.
 *
 * If the target has seen the agent's fencing number, the number is sufficient.
 * Otherwise the agent needs a lease that control has confirmed, and it must
 * wait until the lease of any previous agent has expired. A target that checks
 * fencing numbers is taken over only after it has seen the current number,
 * because the previous agent may continue under its own number after its lease
 * has expired.
 *
 * All times are in milliseconds of a monotonic clock that continues to run while
 * the process is frozen.
 */
export class OrderLease {
  private confirmedAt = -Infinity;
  private revoked = false;
  private isFenceKnown = false;

  constructor(
    private readonly options: OrderLeaseOptions,
    private readonly grantTiming: FenceGrantTiming,
  ) {}

  /**
   * Records that control confirmed the fencing number in response to a call
   * sent at `sentAt`.
   */
  recordConfirmation(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  /** Records that the target has seen the fencing number. */
  recordFenceShown(): void {
    this.isFenceKnown = this.options.fenceChecked;
  }

  /**
   * Records that the target restarted and lost the fencing numbers it had seen.
   */
  recordFenceForgotten(): void {
    this.isFenceKnown = false;
  }

  /**
   * Records that a newer fencing number was granted or that the target refused
   * this one.
   */
  revoke(): void {
    this.revoked = true;
  }

  /** Whether a newer agent has taken over. */
  get isRevoked(): boolean {
    return this.revoked;
  }

  /**
   * Whether the lease is confirmed, so that the agent may present its number or
   * wait to take over.
   */
  isConfirmed(now: number): boolean {
    return !this.revoked && now < this.confirmedAt + this.options.leaseMs;
  }

  /**
   * Whether the target can be taken over: no previous agent may send orders any
   * longer, and none of its orders is still running. `loading` is the number of
   * running loads that the target reports; undefined if the target does not
   * report it.
   */
  canTakeOver(now: number, loading: number | undefined): boolean {
    const {fenceChecked, leaseMs, orderMs} = this.options;
    const {grantedAt, silentMs} = this.grantTiming;
    if (fenceChecked && !this.isFenceKnown) {
      return false;
    }
    const leaseExpiresAt = grantedAt - silentMs + leaseMs + DELIVERY_MARGIN_MS;
    const from = fenceChecked ? grantedAt : leaseExpiresAt;
    const haveOrdersEnded =
      loading === undefined ? now >= from + orderMs : loading === 0;
    return this.isValid(now) && now >= from && haveOrdersEnded;
  }

  /**
   * Whether orders may be sent and requests forwarded once the target has been
   * taken over.
   */
  isValid(now: number): boolean {
    return !this.revoked && (this.isFenceKnown || this.isConfirmed(now));
  }

  /** Time since control last confirmed the lease, in milliseconds. */
  sinceConfirmationMs(now: number): number {
    return now - this.confirmedAt;
  }
}
