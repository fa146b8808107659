import {
  MAX_RECORDS,
  type RequestCrash,
  type RequestSighting,
} from '@marigoldspur/deployment';

/** A crash of an engine beside a request, on this process's clock. */
export interface DatedCrash {
  readonly crash: RequestCrash;
  /** Time of the crash, in milliseconds. */
  readonly at: number;
}

/** Records of requests and the engines that crashed beside them. */
export interface RequestRecords {
  readonly requestCrashes: RequestCrash[];
  readonly requestSightings: RequestSighting[];
}

/** What is known of one request. */
interface RequestHistory {
  /** Crashes by engine incarnation. */
  readonly crashes: Map<string, DatedCrash>;
  /** Times of the last complete answer and of the last refusal, in milliseconds. */
  completedAt: number;
  refusedAt: number;
}

/**
 * Time after the last crash, or after the last refusal of a request, for which the request is
 * remembered, in milliseconds.
 */
const RETENTION_MS = 1_800_000;
/** Sightings of a request that are closer to each other count as one, in milliseconds. */
const SIGHTING_RESOLUTION_MS = 50;

/**
 * The requests that engines crashed beside, as all entries saw it. Records may arrive more
 * than once and in any order; their ages are turned into times of this process's clock.
 */
export class RequestCrashLedger {
  private readonly histories = new Map<string, RequestHistory>();
  private crashCount = 0;

  /** Whether no request is known. */
  get isEmpty(): boolean {
    return this.histories.size === 0;
  }

  /** Adds records at time `now`, in milliseconds; returns those that were not known. */
  add(records: RequestRecords, now: number): RequestRecords {
    this.removeExpired(now);
    const requestCrashes = records.requestCrashes.filter(crash =>
      this.addCrash(crash, now),
    );
    const requestSightings = records.requestSightings.filter(sighting =>
      this.addSighting(sighting, now),
    );
    this.removeExcess();
    return {requestCrashes, requestSightings};
  }

  /** Forgets the requests that neither crashed an engine nor came for a long time at time `now`. */
  removeExpired(now: number): void {
    for (const [request, {crashes, refusedAt}] of this.histories) {
      const times = [...crashes.values()].map(({at}) => at);
      if (now - Math.max(refusedAt, ...times) > RETENTION_MS) {
        this.remove(request);
      }
    }
  }

  /** Returns all records with their ages at time `now`. */
  records(now: number): RequestRecords {
    const requestCrashes: RequestCrash[] = [];
    const requestSightings: RequestSighting[] = [];
    for (const [request, history] of this.histories) {
      for (const {at, crash} of history.crashes.values()) {
        requestCrashes.push({...crash, ageMs: Math.max(0, now - at)});
      }
      for (const kind of ['completed', 'refused'] as const) {
        const at = history[`${kind}At`];
        if (at > -Infinity && requestSightings.length < MAX_RECORDS) {
          requestSightings.push({kind, request, ageMs: Math.max(0, now - at)});
        }
      }
    }
    return {requestCrashes, requestSightings};
  }

  /** Returns those of the records that others lack. */
  recordsMissingIn(others: RequestRecords, now: number): RequestRecords {
    const known = new RequestCrashLedger();
    known.add(others, now);
    return known.add(this.records(now), now);
  }

  /** Crashes beside each request since it was last answered completely. */
  openCrashes(): Map<string, DatedCrash[]> {
    const open = new Map<string, DatedCrash[]>();
    for (const [request, {completedAt, crashes}] of this.histories) {
      const later = [...crashes.values()].filter(({at}) => at > completedAt);
      if (later.length > 0) {
        open.set(request, later);
      }
    }
    return open;
  }

  /** Whether an engine is known to have crashed beside a request. */
  has(request: string): boolean {
    return this.histories.has(request);
  }

  /** When a request was last refused; undefined if it is not known. */
  lastRefusedAt(request: string): number | undefined {
    const at = this.histories.get(request)?.refusedAt ?? -Infinity;
    return at > -Infinity ? at : undefined;
  }

  private addCrash(crash: RequestCrash, now: number): boolean {
    const history = this.histories.get(crash.request) ?? {
      crashes: new Map(),
      completedAt: -Infinity,
      refusedAt: -Infinity,
    };
    const engine = `${crash.target}/${crash.bornAt}`;
    const known = history.crashes.get(engine);
    if (known !== undefined && (known.crash.hasHead || !crash.hasHead)) {
      return false;
    }
    this.crashCount += known === undefined ? 1 : 0;
    history.crashes.set(engine, {crash, at: now - crash.ageMs});
    // The request that crashed last becomes the last one to be dropped.
    this.histories.delete(crash.request);
    this.histories.set(crash.request, history);
    return true;
  }

  /** Adds a sighting of a known request. */
  private addSighting(
    {ageMs, kind, request}: RequestSighting,
    now: number,
  ): boolean {
    const history = this.histories.get(request);
    const at = now - ageMs;
    if (
      history === undefined ||
      at - history[`${kind}At`] < SIGHTING_RESOLUTION_MS
    ) {
      return false;
    }
    history[`${kind}At`] = at;
    return true;
  }

  /** Drops requests down to the maximum, those with the fewest crashes first. */
  private removeExcess(): void {
    for (let crashes = 1; this.crashCount > MAX_RECORDS; crashes += 1) {
      for (const [request, history] of this.histories) {
        if (this.crashCount <= MAX_RECORDS) {
          return;
        }
        if (history.crashes.size <= crashes) {
          this.remove(request);
        }
      }
    }
  }

  private remove(request: string): void {
    this.crashCount -= this.histories.get(request)?.crashes.size ?? 0;
    this.histories.delete(request);
  }
}
