import {setTimeout as pause} from 'node:timers/promises';
import type {
  HeartbeatSender,
  HeartbeatResult,
} from '@marigoldspur/control-client';
import type {EventLog} from '@marigoldspur/event-log';
import type {OrderLease} from '@marigoldspur/order-lease';

/** The first answer may be to a heartbeat sent before a pause of the process. */
const CONFIRM_TRIES = 2;
const CONFIRM_WAIT_MS = 1_000;
/** Control that has not answered for this long counts as away, in milliseconds. */
const AWAY_AFTER_MS = 2_000;
/** Control that was asked within this time is not asked again to forward, in milliseconds. */
const FRESH_MS = 2_000;

/** Keeps an agent's order lease confirmed by control. */
export class LeaseManager {
  private heartbeat?: HeartbeatSender;
  private wasHeld = true;
  private askedAt = -Infinity;

  constructor(
    readonly lease: OrderLease,
    private readonly events: EventLog,
  ) {}

  /** Uses the heartbeat that `answered` gets the answers of. */
  use(heartbeat: HeartbeatSender): void {
    this.heartbeat = heartbeat;
  }

  /** Takes note of the answer to a heartbeat. */
  answered(answer: HeartbeatResult): void {
    this.askedAt = answer.sentAt;
    if (answer.result.isOk) {
      this.lease.recordConfirmation(answer.sentAt);
    } else if (answer.result.error.code === 'FENCED') {
      this.lease.revoke();
    }
  }

  /** Whether control has not answered for a while. */
  controlAway(now: number): boolean {
    return this.lease.sinceConfirmationMs(now) > AWAY_AFTER_MS;
  }

  /** Whether an order may be given at this moment. */
  mayOrder(now: number): boolean {
    const holds = this.lease.isValid(now);
    if (!holds && this.wasHeld) {
      this.events.record('orders-held', {revoked: this.lease.isRevoked});
    }
    this.wasHeld = holds;
    return holds;
  }

  /**
   * Whether a request may be forwarded. After a pause of the process or a cut from
   * control it asks control first: a newer agent may have taken over meanwhile. While
   * control is away, only a target that knows the fencing number is still used.
   */
  async mayForward(): Promise<boolean> {
    for (let tries = 0; tries < CONFIRM_TRIES && !this.askedLately(); tries++) {
      await Promise.race([this.heartbeat?.sendNow(), pause(CONFIRM_WAIT_MS)]);
    }
    if (this.lease.isRevoked) {
      return false;
    }
    return this.lease.isValid(performance.now());
  }

  private askedLately(): boolean {
    const now = performance.now();
    const unaskedMs = Math.min(
      this.lease.sinceConfirmationMs(now),
      now - this.askedAt,
    );
    return this.lease.isRevoked || unaskedMs < FRESH_MS;
  }
}
