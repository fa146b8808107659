/** A limit that a target stated. */
export interface StatedLimit {
  /** Requests per second that the target takes from all entries together; undefined if it stated none. */
  readonly perSecond: number | undefined;
  /** When the target stated it, in milliseconds. */
  readonly at: number;
}

/** The request limits that targets stated last, by incarnation. */
export class StatedLimits {
  private readonly limits = new Map<string, StatedLimit>();

  /** Requests per second that a target takes; undefined if there is no limit. */
  perSecond(incarnation: string): number | undefined {
    return this.limits.get(incarnation)?.perSecond;
  }

  /**
   * Records what a response stated at time `now`, in milliseconds, to a call that was sent
   * at time `sentAt`. Returns whether the limit changed. A response without a limit counts
   * only if its call was sent after the limit was stated: responses overtake each other.
   */
  recordResponse(
    incarnation: string,
    perSecond: number | undefined,
    sentAt: number,
    now: number,
  ): boolean {
    const known = this.limits.get(incarnation);
    const isOutdated =
      perSecond === undefined && (known === undefined || sentAt <= known.at);
    return !isOutdated && this.record(incarnation, {perSecond, at: now});
  }

  /** Records what another process knows; returns whether it is newer and another limit. */
  record(incarnation: string, stated: StatedLimit): boolean {
    const known = this.limits.get(incarnation);
    if (known !== undefined && stated.at <= known.at) {
      return false;
    }
    this.limits.set(incarnation, stated);
    return stated.perSecond !== known?.perSecond;
  }

  /** Returns all limits that are known. */
  entries(): ReadonlyMap<string, StatedLimit> {
    return this.limits;
  }

  /** Forgets what targets stated before time `at`, in milliseconds. */
  dropBefore(at: number): void {
    for (const [incarnation, stated] of this.limits) {
      if (stated.at < at) {
        this.limits.delete(incarnation);
      }
    }
  }

  /** Forgets the targets that are not in `known`. */
  retain(known: ReadonlySet<string>): void {
    for (const incarnation of this.limits.keys()) {
      if (!known.has(incarnation)) {
        this.limits.delete(incarnation);
      }
    }
  }
}
