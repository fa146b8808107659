import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {FailureDetector, type Evidence} from '@marigoldspur/failure-detector';
import {mayContinue} from '@marigoldspur/stream-origins';
import {incarnationOf} from './incarnation.js';
import type {TargetRequirements} from './target-choice.js';
import type {TargetStatsRegistry} from './target-stats-registry.js';

/** Options of a target eligibility. */
export interface TargetEligibilityOptions {
  /** Returns all known targets. */
  readonly targets: () => readonly TargetAnnouncement[];
  readonly targetStats: Pick<
    TargetStatsRegistry,
    'mayHaveRestarted' | 'snapshotOf'
  >;
}

/**
 * Half-life of suspicion, in milliseconds. There are no probes here, so a
 * suspected target is tried again after twice this time.
 */
const SUSPICION_HALF_LIFE_MS = 1_500;

/**
 * Decides which targets may be used for a call at all: those that serve it, do not pause, and
 * are not suspected to have failed.
 */
export class TargetEligibility {
  /** When the pauses that targets asked for end, by incarnation, in milliseconds. */
  private readonly pauseEnds = new Map<string, number>();
  private readonly failureDetector = new FailureDetector({
    halfLifeMs: SUSPICION_HALF_LIFE_MS,
  });

  constructor(private readonly options: TargetEligibilityOptions) {}

  /** Returns the targets that may be used for a call at time `now`. */
  usableTargets(
    requirements: TargetRequirements,
    now: number,
  ): readonly TargetAnnouncement[] {
    const serving = this.options
      .targets()
      .filter(
        target =>
          this.serves(target, requirements) &&
          !this.isPaused(target, now) &&
          this.mayRespond(target),
      );
    const assessment = this.failureDetector.assess(
      serving.map(incarnationOf),
      now,
    );
    const usable = new Set(assessment.usable);
    return serving.filter(target => usable.has(incarnationOf(target)));
  }

  /**
   * Whether a target still takes calls with these requirements at time `now`. A target that
   * was chosen before a wait is checked with this before it is used.
   */
  isAvailable(
    target: TargetAnnouncement,
    requirements: TargetRequirements,
    now: number,
  ): boolean {
    const incarnation = incarnationOf(target);
    return this.options
      .targets()
      .some(
        known =>
          incarnationOf(known) === incarnation &&
          this.serves(known, requirements) &&
          !this.isPaused(known, now),
      );
  }

  /** Whether a target is known that may take calls with these requirements once it is free or responds again. */
  mayServeLater(requirements: TargetRequirements): boolean {
    const anyTarget = {...requirements, excluded: new Set<string>()};
    return this.options
      .targets()
      .some(target => this.serves(target, anyTarget));
  }

  /** Records that a target wants no calls from this entry until `endsAt`, in milliseconds. */
  recordPause(target: TargetAnnouncement, endsAt: number): void {
    const incarnation = incarnationOf(target);
    const known = this.pauseEnds.get(incarnation) ?? -Infinity;
    this.pauseEnds.set(incarnation, Math.max(known, endsAt));
  }

  /**
   * Time at `now` until the first target that serves these requirements, also of those that must
   * not be used, ends its pause, in milliseconds; undefined if none of them pauses.
   */
  pauseRemainingMs(
    requirements: TargetRequirements,
    now: number,
  ): number | undefined {
    const anyTarget = {...requirements, excluded: new Set<string>()};
    const remaining = this.options
      .targets()
      .filter(
        target => this.serves(target, anyTarget) && this.isPaused(target, now),
      )
      .map(target => this.pauseEnds.get(incarnationOf(target))! - now);
    return remaining.length === 0 ? undefined : Math.min(...remaining);
  }

  /**
   * Records that a target did not respond or responded incorrectly. Returns
   * whether the target became suspected.
   */
  recordFailure(
    target: TargetAnnouncement,
    evidence: Evidence,
    now: number,
  ): boolean {
    const incarnation = incarnationOf(target);
    const wasSuspected = this.failureDetector.isSuspected(incarnation, now);
    this.failureDetector.recordFailure(incarnation, evidence, now);
    return !wasSuspected && this.failureDetector.isSuspected(incarnation, now);
  }

  /** Records that a target responded. */
  recordSuccess(target: TargetAnnouncement): void {
    this.failureDetector.recordSuccess(incarnationOf(target));
  }

  /** Drops the state of all targets except those with the given incarnations. */
  retainTargets(incarnations: ReadonlySet<string>): void {
    this.failureDetector.retainTargets(incarnations);
    for (const incarnation of this.pauseEnds.keys()) {
      if (!incarnations.has(incarnation)) {
        this.pauseEnds.delete(incarnation);
      }
    }
  }

  private serves(
    target: TargetAnnouncement,
    {excluded, origin, service}: TargetRequirements,
  ): boolean {
    return (
      target.service === service.name &&
      !target.leaving &&
      !excluded.has(target.id) &&
      (origin === undefined ||
        (!this.options.targetStats.mayHaveRestarted(target) &&
          mayContinue(target, origin)))
    );
  }

  private isPaused(target: TargetAnnouncement, now: number): boolean {
    if (this.pauseEnds.size === 0) {
      return false;
    }
    return now < (this.pauseEnds.get(incarnationOf(target)) ?? -Infinity);
  }

  /** Whether the target's agent does not report it as unresponsive. */
  private mayRespond(target: TargetAnnouncement): boolean {
    return this.options.targetStats.snapshotOf(target).view?.answers !== false;
  }
}
