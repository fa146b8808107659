import {elapsedMs, type ClockReading} from '@marigoldspur/clock-readings';

/** The answer of a quorum that a revision was the newest one when it was asked, or later. */
interface Confirmation {
  readonly revision: number;
  readonly requestedAt: ClockReading;
}

/** Share of the revocation time for which a confirmation is valid; the rest covers drift of clocks. */
const VALID_SHARE = 0.9;
/** An entry asks 8 times in the revocation time, and a few replicas at once after a failure. */
const MAX_CONFIRMATIONS = 32;

/**
 * Decides whether the configuration that an entry applies may still be relied on for keys. A
 * confirmation counts from the time at which it was requested: a key that was removed later may
 * be used until `revokeMs` after its removal.
 */
export class KeyFreshness {
  /** Confirmations of which none is both requested later and for a revision not above another's. */
  private confirmations: readonly Confirmation[] = [];

  constructor(private readonly revokeMs: number) {}

  /** Records that a quorum confirmed a revision in answer to a request sent at `requestedAt`. */
  recordConfirmation(revision: number, requestedAt: ClockReading): void {
    const isSuperseded = this.confirmations.some(
      known =>
        known.revision <= revision &&
        known.requestedAt.monotonicMs >= requestedAt.monotonicMs,
    );
    if (isSuperseded) {
      return;
    }
    const kept = this.confirmations.filter(
      known =>
        known.revision < revision ||
        known.requestedAt.monotonicMs > requestedAt.monotonicMs,
    );
    this.confirmations = [...kept, {revision, requestedAt}].slice(
      -MAX_CONFIRMATIONS,
    );
  }

  /** Whether keys may be used at time `now` by the configuration with the applied revision. */
  isFresh(appliedRevision: number, now: ClockReading): boolean {
    return this.ageMs(appliedRevision, now) < Infinity;
  }

  /**
   * Time at `now` since the newest valid confirmation of the applied revision was requested, in
   * milliseconds; infinite if there is none.
   */
  ageMs(appliedRevision: number, now: ClockReading): number {
    const ages = this.confirmations
      .filter(({revision}) => revision <= appliedRevision)
      .map(({requestedAt}) => this.validAgeMs(requestedAt, now));
    return Math.min(Infinity, ...ages);
  }

  private validAgeMs(requestedAt: ClockReading, now: ClockReading): number {
    const ageMs = elapsedMs(requestedAt, now);
    return ageMs >= VALID_SHARE * this.revokeMs ? Infinity : ageMs;
  }
}
