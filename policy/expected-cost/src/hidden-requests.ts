/** Age of the agents' reports by which processes decide, in milliseconds. */
const REPORT_AGE_MS = 250;
/** Number of observations over which the mean of the others' requests is taken. */
const WINDOW = 10;
/** Time after which a choice of a key counts half, in milliseconds. */
const KEY_HALF_LIFE_MS = 10_000;
/** Choices that an unknown mix of keys counts for. */
const PRIOR_CHOICES = 4;
/** Maximum number of keys that are counted; the least recently used ones are evicted. */
const MAX_KEYS = 1_024;

/** A count that is halved per half-life. */
interface DecayedCount {
  value: number;
  at: number;
}

/**
 * Estimates which requests other processes have sent to the engines of a service that no
 * report shows yet, from the reported requests and from the mix of this process's own ones.
 */
export class HiddenRequests {
  private othersMean = 0;
  private observations = 0;
  private readonly choices: DecayedCount = {value: 0, at: 0};
  private readonly choicesByKey = new Map<string, DecayedCount>();

  /** Records the requests that are reported at all engines, and those of this process. */
  recordRequests(reported: number, own: number): void {
    this.observations = Math.min(WINDOW, this.observations + 1);
    this.othersMean += (reported - own - this.othersMean) / this.observations;
  }

  /** Records a choice for a request with this affinity key at time `now`. */
  recordChoice(key: string, now: number): void {
    add(this.choices, now);
    const count = this.choicesByKey.get(key) ?? {value: 0, at: now};
    this.choicesByKey.delete(key);
    this.choicesByKey.set(key, count);
    add(count, now);
    if (this.choicesByKey.size > MAX_KEYS) {
      this.choicesByKey.delete(this.choicesByKey.keys().next().value!);
    }
  }

  /**
   * Expected number of requests of others that no report shows: those at the engines are
   * replaced within the mean duration of a request.
   */
  count(meanDurationMs: number): number {
    const replacedShare =
      REPORT_AGE_MS / Math.max(REPORT_AGE_MS, meanDurationMs);
    return Math.max(0, this.othersMean) * replacedShare;
  }

  /** Expected share of them that have this affinity key. */
  shareOf(key: string, now: number): number {
    const count = this.choicesByKey.get(key);
    return count === undefined
      ? 0
      : valueAt(count, now) / (valueAt(this.choices, now) + PRIOR_CHOICES);
  }
}

function add(count: DecayedCount, now: number): void {
  count.value = valueAt(count, now) + 1;
  count.at = now;
}

function valueAt({at, value}: DecayedCount, now: number): number {
  return value * 2 ** (-Math.max(0, now - at) / KEY_HALF_LIFE_MS);
}
