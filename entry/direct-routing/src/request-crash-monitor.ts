import {
  findBlamedRequests,
  RequestCrashLedger,
  type RequestBlame,
  type RequestBlames,
  type RequestRecords,
} from '@marigoldspur/crash-attribution';
import type {EventLog} from '@marigoldspur/event-log';
import type {CrashedCall} from './crash-monitor.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';

/** Options of a request crash monitor. */
export interface RequestCrashMonitorOptions {
  /** Name of this entry. */
  readonly entry: string;
  /** Sends records to all replicas of control. */
  readonly broadcast: (records: RequestRecords) => void;
  /** Called after the blamed requests have changed. */
  readonly onChanged: () => void;
  /** Called after requests were blocked. */
  readonly onBlocked: () => void;
  readonly events: EventLog;
  readonly metrics: Pick<DirectRoutingMetrics, 'setBlockedRequests'>;
}

/** A request that can be identified when it is sent again. */
export interface IdentifiedRequest {
  /** Returns what identifies the request. */
  readonly fingerprint: () => string;
}

/** Minimum time between two reports that a blocked request still comes, in milliseconds. */
const REFUSAL_REPORT_INTERVAL_MS = 60_000;

/** Finds out which requests crash the engines that run them, from the records of all entries. */
export class RequestCrashMonitor {
  private readonly ledger = new RequestCrashLedger();
  private blames: RequestBlames = {byRequest: new Map(), causes: new Map()};

  constructor(private readonly options: RequestCrashMonitorOptions) {}

  /** The request that crashed each engine, by engine incarnation as ID/START. */
  get causes(): ReadonlyMap<string, string> {
    return this.blames.causes;
  }

  /** Returns the records of this entry that others lack. */
  recordsMissingIn(others: RequestRecords, now: number): RequestRecords {
    return this.ledger.recordsMissingIn(others, now);
  }

  /** Adds the records of another process. */
  addRecords(records: RequestRecords, now: number): void {
    this.ledger.add(records, now);
    this.updateBlames(now);
  }

  /** Records that engines crashed beside calls that this entry had sent them. */
  recordCrashes(calls: readonly CrashedCall[], now: number): void {
    const {entry} = this.options;
    const requestCrashes = calls.map(({at, call}) => ({
      entry,
      target: call.target.id,
      bornAt: call.target.bornAt,
      request: call.fingerprint(),
      hasHead: call.hasHead,
      ageMs: now - at,
    }));
    this.publish({requestCrashes, requestSightings: []}, now);
  }

  /** Records a complete answer to a request. */
  recordCompletion(request: IdentifiedRequest, now: number): void {
    // Fingerprints are costly for large bodies; without a crash nothing depends on them.
    if (!this.ledger.isEmpty && this.ledger.has(request.fingerprint())) {
      this.publishSighting('completed', request.fingerprint(), now);
    }
  }

  /** Returns why a request is refused; undefined if it is not. */
  findBlock(request: IdentifiedRequest): RequestBlame | undefined {
    const {byRequest} = this.blames;
    return byRequest.size === 0
      ? undefined
      : byRequest.get(request.fingerprint());
  }

  /**
   * Returns why a request is refused at time `now`; undefined if it is not. A refusal keeps the
   * request blocked.
   */
  refuse(request: IdentifiedRequest, now: number): RequestBlame | undefined {
    if (this.findBlock(request) === undefined) {
      return undefined;
    }
    this.ledger.removeExpired(now);
    this.updateBlames(now);
    const blame = this.findBlock(request);
    if (blame !== undefined) {
      this.recordRefusal(blame, now);
    }
    return blame;
  }

  private recordRefusal({request}: RequestBlame, now: number): void {
    const last = this.ledger.lastRefusedAt(request) ?? -Infinity;
    if (now - last >= REFUSAL_REPORT_INTERVAL_MS) {
      this.publishSighting('refused', request, now);
    }
  }

  private publishSighting(
    kind: 'completed' | 'refused',
    request: string,
    now: number,
  ): void {
    const sighting = {kind, request, ageMs: 0};
    this.publish({requestCrashes: [], requestSightings: [sighting]}, now);
  }

  /** Adds records of this entry, and sends those that are new to all others. */
  private publish(records: RequestRecords, now: number): void {
    const added = this.ledger.add(records, now);
    if (added.requestCrashes.length + added.requestSightings.length > 0) {
      this.options.broadcast(added);
      this.updateBlames(now);
    }
  }

  private updateBlames(now: number): void {
    const {events, metrics, onBlocked, onChanged} = this.options;
    const known = this.blames.byRequest;
    this.blames = findBlamedRequests(this.ledger);
    const {byRequest} = this.blames;
    const added = [...byRequest.values()].filter(
      ({request}) => !known.has(request),
    );
    const released = [...known.keys()].filter(
      request => !byRequest.has(request),
    );
    for (const {engines, entries, request, since} of added) {
      events.record('request-blocked', {
        fingerprint: request,
        engines,
        entries: entries.join(' '),
        ageMs: Math.round(now - since),
      });
    }
    released.forEach(fingerprint =>
      events.record('request-released', {fingerprint}),
    );
    metrics.setBlockedRequests(byRequest.size);
    if (added.length + released.length > 0) {
      onChanged();
    }
    if (added.length > 0) {
      onBlocked();
    }
  }
}
