/** What went wrong with one attempt at a target. */
export type Evidence =
  /** The connection was refused or could not be made. */
  | 'connect-failed'
  /** No byte came within the time that one was due. */
  | 'timeout'
  /** An answer that had begun stopped coming. */
  | 'stall'
  /** The connection broke while an answer was due. */
  | 'broken';

/** Options of a suspicion table. */
export interface FailureDetectorOptions {
  /** Time in which a score falls to its half, in milliseconds. */
  readonly halfLifeMs?: number;
  /** Shortest time between two probes of one target, in milliseconds. */
  readonly probeIntervalMs?: number;
  /** Longest time between two probes of one target, in milliseconds. */
  readonly maxProbeIntervalMs?: number;
  /** Share of suspected targets from which the process counts as isolated. */
  readonly isolationShare?: number;
}

/** Which of the given targets may get work. */
export interface TargetAssessment {
  /** The targets to choose from: the trusted ones, or all when isolated. */
  readonly usable: readonly string[];
  readonly suspected: readonly string[];
  /** True where so many are suspected that the fault is more likely here. */
  readonly isolated: boolean;
}

interface Row {
  score: number;
  scoredAt: number;
  suspected: boolean;
  failedProbes: number;
  nextProbeAt: number;
}

const DEFAULTS: Required<FailureDetectorOptions> = {
  halfLifeMs: 5_000,
  probeIntervalMs: 250,
  maxProbeIntervalMs: 4_000,
  isolationShare: 0.8,
};

/** A refused or broken connection is proof enough; silence has to repeat. */
const WEIGHTS: Readonly<Record<Evidence, number>> = {
  'connect-failed': 1,
  broken: 0.6,
  stall: 0.6,
  timeout: 0.6,
};
const SUSPECT_SCORE = 1;
const TRUST_SCORE = 0.25;
const MAX_SCORE = 2;
const FORGET_SCORE = 0.01;
const PROBE_BACKOFF = 2;

/**
 * Suspects targets from what the data path sees, sooner than their leases end.
 *
 * Each piece of evidence adds to a score that halves with time; at 1 the target is
 * suspected and stays so until a success, a good probe, or decay below 0.25. Two
 * silences within a few seconds suspect a target, as does one failed connect.
 *
 * Use it so, with one steady clock in milliseconds (`performance.now()`) as `now`:
 *
 * - Name each target by agent and boot, for example `` `${id}/${boot}` ``, so that
 *   one that restarted begins with a clean score.
 * - On the end of each attempt call `failed` or `succeeded`. A refusal that the agent
 *   answered is a success here: the target was reached. A caller that went away is
 *   neither.
 * - Before placement pass the candidates through `judge` and place among `usable`.
 *   Where `isolated` is true, all candidates are usable.
 * - About every 100 ms ask `probesDue`, send each named target a health check with a
 *   short timeout, and report it by `succeeded` or `failed`.
 */
export class FailureDetector {
  private readonly rows = new Map<string, Row>();
  private readonly options: Required<FailureDetectorOptions>;

  constructor(options: FailureDetectorOptions = {}) {
    this.options = {...DEFAULTS, ...options};
  }

  /** Takes evidence against a target at time `now`. */
  recordFailure(target: string, evidence: Evidence, now: number): void {
    const row = this.row(target, now);
    row.score = Math.min(MAX_SCORE, row.score + WEIGHTS[evidence]);
    if (row.suspected) {
      row.failedProbes += 1;
      row.nextProbeAt = now + this.probePause(row.failedProbes);
      return;
    }
    if (row.score >= SUSPECT_SCORE) {
      row.suspected = true;
      row.failedProbes = 0;
      row.nextProbeAt = now + this.options.probeIntervalMs;
    }
  }

  /** Takes an answer or a good probe of a target: it is trusted again. */
  recordSuccess(target: string): void {
    this.rows.delete(target);
  }

  /** Whether a target is suspected at time `now`. */
  isSuspected(target: string, now: number): boolean {
    return this.current(target, now)?.suspected ?? false;
  }

  /** Sorts the targets that could serve a request at time `now`. */
  assess(targets: readonly string[], now: number): TargetAssessment {
    const suspected = targets.filter(target => this.isSuspected(target, now));
    const isolated =
      suspected.length > 0 &&
      suspected.length >= targets.length * this.options.isolationShare;
    const usable = isolated
      ? targets
      : targets.filter(target => !suspected.includes(target));
    return {usable, suspected, isolated};
  }

  /**
   * The suspected targets to probe at time `now`; each counts as asked, so the next
   * call names it again only after its pause.
   */
  probesDue(now: number): string[] {
    const due: string[] = [];
    for (const target of [...this.rows.keys()]) {
      const row = this.current(target, now);
      if (row?.suspected && row.nextProbeAt <= now) {
        row.nextProbeAt = now + this.probePause(row.failedProbes);
        due.push(target);
      }
    }
    return due;
  }

  /** Forgets the targets that are not among `known`, as after a change of members. */
  retainTargets(known: ReadonlySet<string>): void {
    for (const target of this.rows.keys()) {
      if (!known.has(target)) {
        this.rows.delete(target);
      }
    }
  }

  /** Targets with a score. */
  get size(): number {
    return this.rows.size;
  }

  private row(target: string, now: number): Row {
    const known = this.current(target, now);
    if (known !== undefined) {
      return known;
    }
    const row: Row = {
      score: 0,
      scoredAt: now,
      suspected: false,
      failedProbes: 0,
      nextProbeAt: now,
    };
    this.rows.set(target, row);
    return row;
  }

  /** The row of a target with its score decayed to time `now`. */
  private current(target: string, now: number): Row | undefined {
    const row = this.rows.get(target);
    if (row === undefined) {
      return undefined;
    }
    const elapsed = Math.max(0, now - row.scoredAt);
    row.score *= 0.5 ** (elapsed / this.options.halfLifeMs);
    row.scoredAt = Math.max(now, row.scoredAt);
    if (row.score < TRUST_SCORE) {
      row.suspected = false;
    }
    if (row.score < FORGET_SCORE) {
      this.rows.delete(target);
      return undefined;
    }
    return row;
  }

  private probePause(failedProbes: number): number {
    const {probeIntervalMs, maxProbeIntervalMs} = this.options;
    const pause = probeIntervalMs * PROBE_BACKOFF ** failedProbes;
    return Math.min(maxProbeIntervalMs, pause);
  }
}
