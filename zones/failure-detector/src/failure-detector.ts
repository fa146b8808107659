/** Evidence of a failure, from one attempt at a target. */
export type Evidence =
  /** The connection was refused or could not be made. */
  | 'connect-failed'
  /** No byte arrived before the timeout. */
  | 'timeout'
  /** A started answer stalled. */
  | 'stall'
  /** The connection broke before the answer was complete. */
  | 'broken'
  /** The answer brought more than its request allows. */
  | 'excess';

/** Options of a failure detector. */
export interface FailureDetectorOptions {
  /** Half-life of a score, in milliseconds. */
  readonly halfLifeMs?: number;
  /** Minimum time between two probes of a target, in milliseconds. */
  readonly probeIntervalMs?: number;
  /** Maximum time between two probes of a target, in milliseconds. */
  readonly maxProbeIntervalMs?: number;
  /** Fraction of the targets that must be suspected for this process to count as isolated. */
  readonly isolationShare?: number;
}

/** Which of the given targets may receive requests. */
export interface TargetAssessment {
  /** The targets to choose from: those not suspected, or all if isolated. */
  readonly usable: readonly string[];
  /** The targets that are suspected. */
  readonly suspected: readonly string[];
  /** Whether so many targets are suspected that the fault is more likely local. */
  readonly isIsolated: boolean;
}

interface Row {
  score: number;
  scoredAt: number;
  isSuspected: boolean;
  failedProbes: number;
  nextProbeAt: number;
}

const DEFAULTS: Required<FailureDetectorOptions> = {
  halfLifeMs: 5_000,
  probeIntervalMs: 250,
  maxProbeIntervalMs: 4_000,
  isolationShare: 0.8,
};

/**
 * One failed connection, or one answer that no sound target writes, is enough to suspect a target;
 * other evidence has to repeat.
 */
const EVIDENCE_WEIGHTS: Readonly<Record<Evidence, number>> = {
  'connect-failed': 1,
  broken: 0.6,
  stall: 0.6,
  timeout: 0.6,
  excess: 1,
};
const SUSPICION_THRESHOLD = 1;
const TRUST_THRESHOLD = 0.25;
const MAX_SCORE = 2;
const REMOVAL_THRESHOLD = 0.01;
const PROBE_BACKOFF_FACTOR = 2;

/**
 * Suspects failed targets from the results of requests, before their leases end.
 *
 * Each piece of evidence adds to a score that decays exponentially. A target is suspected
 * from a score of 1 until an attempt or a probe succeeds or the score decays below 0.25.
 * One failed connection or answer beyond its bound, or two timeouts or stalls within a few
 * seconds, are enough to suspect a target.
 *
 * Usage, with one monotonic clock in milliseconds (`performance.now()`) as `now`:
 *
 * - Identify each target by agent and boot, for example `` `${id}/${boot}` ``, so that
 *   a restarted target starts with a clean score.
 * - At the end of each attempt call `recordFailure` or `recordSuccess`. A refusal sent by
 *   the agent is a success here, because the target was reached. A caller that
 *   disconnected is neither.
 * - Before placement pass the candidates to `assess` and choose from `usable`. If
 *   `isIsolated` is true, all candidates are usable.
 * - About every 100 ms call `takeDueProbes`, send each returned target a health check with a
 *   short timeout, and report the result with `recordSuccess` or `recordFailure`.
 */
export class FailureDetector {
  private readonly rows = new Map<string, Row>();
  private readonly options: Required<FailureDetectorOptions>;

  constructor(options: FailureDetectorOptions = {}) {
    this.options = {...DEFAULTS, ...options};
  }

  /** Records evidence against a target at time `now`. */
  recordFailure(target: string, evidence: Evidence, now: number): void {
    const row = this.getOrCreateRow(target, now);
    row.score = Math.min(MAX_SCORE, row.score + EVIDENCE_WEIGHTS[evidence]);
    if (row.isSuspected) {
      row.failedProbes += 1;
      row.nextProbeAt = now + this.probeIntervalAfter(row.failedProbes);
      return;
    }
    if (row.score >= SUSPICION_THRESHOLD) {
      row.isSuspected = true;
      row.failedProbes = 0;
      row.nextProbeAt = now + this.options.probeIntervalMs;
    }
  }

  /** Records an answer or a successful probe of a target, which clears its score. */
  recordSuccess(target: string): void {
    this.rows.delete(target);
  }

  /** Whether a target is suspected at time `now`. */
  isSuspected(target: string, now: number): boolean {
    return this.findRow(target, now)?.isSuspected ?? false;
  }

  /** Assesses the targets that could serve a request at time `now`. */
  assess(targets: readonly string[], now: number): TargetAssessment {
    const suspected = targets.filter(target => this.isSuspected(target, now));
    const isIsolated =
      suspected.length > 0 &&
      suspected.length >= targets.length * this.options.isolationShare;
    const usable = isIsolated
      ? targets
      : targets.filter(target => !suspected.includes(target));
    return {usable, suspected, isIsolated};
  }

  /**
   * Returns the suspected targets to probe at time `now`. Each counts as probed, so it is
   * returned again only after its probe interval.
   */
  takeDueProbes(now: number): string[] {
    const due: string[] = [];
    for (const target of [...this.rows.keys()]) {
      const row = this.findRow(target, now);
      if (row?.isSuspected && row.nextProbeAt <= now) {
        row.nextProbeAt = now + this.probeIntervalAfter(row.failedProbes);
        due.push(target);
      }
    }
    return due;
  }

  /** Drops the targets that are not in `known`, for example after a membership change. */
  retainTargets(known: ReadonlySet<string>): void {
    for (const target of this.rows.keys()) {
      if (!known.has(target)) {
        this.rows.delete(target);
      }
    }
  }

  /** Number of targets with a score. */
  get size(): number {
    return this.rows.size;
  }

  private getOrCreateRow(target: string, now: number): Row {
    const known = this.findRow(target, now);
    if (known !== undefined) {
      return known;
    }
    const row: Row = {
      score: 0,
      scoredAt: now,
      isSuspected: false,
      failedProbes: 0,
      nextProbeAt: now,
    };
    this.rows.set(target, row);
    return row;
  }

  /** Returns the row of a target with its score decayed to time `now`. */
  private findRow(target: string, now: number): Row | undefined {
    const row = this.rows.get(target);
    if (row === undefined) {
      return undefined;
    }
    const elapsed = Math.max(0, now - row.scoredAt);
    row.score *= 0.5 ** (elapsed / this.options.halfLifeMs);
    row.scoredAt = Math.max(now, row.scoredAt);
    if (row.score < TRUST_THRESHOLD) {
      row.isSuspected = false;
    }
    if (row.score < REMOVAL_THRESHOLD) {
      this.rows.delete(target);
      return undefined;
    }
    return row;
  }

  private probeIntervalAfter(failedProbes: number): number {
    const {probeIntervalMs, maxProbeIntervalMs} = this.options;
    const intervalMs = probeIntervalMs * PROBE_BACKOFF_FACTOR ** failedProbes;
    return Math.min(maxProbeIntervalMs, intervalMs);
  }
}
