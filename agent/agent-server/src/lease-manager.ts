import {setTimeout as pause} from 'node:timers/promises';
import type {
  HeartbeatSender,
  HeartbeatResult,
} from '@marigoldspur/control-client';
import type {EventLog} from '@marigoldspur/event-log';
import type {OrderLease} from '@marigoldspur/order-lease';

/**
 * Two attempts are needed because the first answer may be to a heartbeat that
 * was sent before the process was paused.
 */
const CONFIRM_ATTEMPTS = 2;
const CONFIRM_TIMEOUT_MS = 1_000;
/** Control counts as unreachable if it has not answered for this long. */
const UNREACHABLE_AFTER_MS = 2_000;
/**
 * A request is forwarded without a new heartbeat if the last one that ended,
 * with or without an answer, was sent within this time.
 */
const CONFIRMATION_VALIDITY_MS = 2_000;

/** Maintains an agent's order lease with confirmations from control. */
export class LeaseManager {
  private heartbeat?: HeartbeatSender;
  private wasValid = true;
  /** When the last heartbeat that ended was sent. */
  private heartbeatSentAt = -Infinity;

  constructor(
    readonly lease: OrderLease,
    private readonly events: EventLog,
  ) {}

  /** Sets the heartbeat whose answers are passed to {@link recordAnswer}. */
  setHeartbeat(heartbeat: HeartbeatSender): void {
    this.heartbeat = heartbeat;
  }

  /** Records the answer to a heartbeat. */
  recordAnswer(answer: HeartbeatResult): void {
    this.heartbeatSentAt = answer.sentAt;
    if (answer.result.isOk) {
      this.lease.recordConfirmation(answer.sentAt);
    } else if (answer.result.error.code === 'FENCED') {
      this.lease.revoke();
    }
  }

  /** Whether control has not confirmed the lease recently. */
  isControlUnreachable(now: number): boolean {
    return this.lease.sinceConfirmationMs(now) > UNREACHABLE_AFTER_MS;
  }

  /** Whether an order may be sent now. */
  mayOrder(now: number): boolean {
    const isValid = this.lease.isValid(now);
    if (!isValid && this.wasValid) {
      this.events.record('orders-held', {revoked: this.lease.isRevoked});
    }
    this.wasValid = isValid;
    return isValid;
  }

  /**
   * Whether a request may be forwarded. After the process was paused or
   * disconnected from control, it first asks control, because a newer agent may
   * have taken over in the meantime. While control is unreachable, requests are
   * forwarded until the lease expires, or without a limit to a target that has
   * seen the fencing number.
   */
  async mayForward(): Promise<boolean> {
    for (
      let attempts = 0;
      attempts < CONFIRM_ATTEMPTS && !this.hasRecentHeartbeat();
      attempts++
    ) {
      await Promise.race([
        this.heartbeat?.sendNow(),
        pause(CONFIRM_TIMEOUT_MS),
      ]);
    }
    if (this.lease.isRevoked) {
      return false;
    }
    return this.lease.isValid(performance.now());
  }

  private hasRecentHeartbeat(): boolean {
    const now = performance.now();
    const sinceHeartbeatMs = Math.min(
      this.lease.sinceConfirmationMs(now),
      now - this.heartbeatSentAt,
    );
    return this.lease.isRevoked || sinceHeartbeatMs < CONFIRMATION_VALIDITY_MS;
  }
}
