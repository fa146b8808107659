import type http from 'node:http';
import {LoadReportCache, resolveRegion} from '@marigoldspur/membership';
import type {LoadReport, Member} from '@marigoldspur/messages';
import {followLoadReports} from './load-report-stream.js';

/** Options of a region load follower. */
export interface RegionLoadFollowerOptions {
  /** Returns the current members. */
  readonly members: () => readonly Member[];
  /** Name of the region. */
  readonly region: string;
  readonly agent: http.Agent;
}

/** Interval between checks for added, removed and lost relays, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Follows the load reports of the targets of a region, with one stream per relay. */
export class RegionLoadFollower {
  private readonly cache = new LoadReportCache();
  private readonly streams = new Map<string, AbortController>();
  private foreignZones: ReadonlySet<string> = new Set();
  private timer?: NodeJS.Timeout;

  constructor(private readonly options: RegionLoadFollowerOptions) {}

  /** Starts following the relays of the region until `stop` is called. */
  start(): void {
    this.timer = setInterval(
      () => this.updateStreams(performance.now()),
      CHECK_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.timer);
    this.streams.forEach(stream => stream.abort());
  }

  /**
   * Returns the latest load report of a member: the one from a relay, or else the one in
   * the member record; undefined if there is neither.
   */
  loadOf(member: Member): LoadReport | undefined {
    return this.cache.loadOf(member);
  }

  /** Whether a member may be in the region, so that its load reports are received here. */
  isInRegion(member: Member): boolean {
    return !this.foreignZones.has(member.zone);
  }

  private updateStreams(now: number): void {
    const region = resolveRegion(this.options.members(), this.options.region);
    this.foreignZones = region.foreignZones;
    this.cache.expire(now);
    for (const [url, stream] of this.streams) {
      if (!region.relays.includes(url)) {
        stream.abort();
      }
    }
    for (const url of region.relays) {
      if (!this.streams.has(url)) {
        void this.follow(url);
      }
    }
  }

  private async follow(url: string): Promise<void> {
    const stream = new AbortController();
    this.streams.set(url, stream);
    let isFirst = true;
    await followLoadReports({
      url,
      agent: this.options.agent,
      signal: stream.signal,
      onChanges: changes => {
        this.cache.applyChanges(url, changes, isFirst);
        isFirst = false;
      },
    });
    this.cache.markSourceLost(url, performance.now());
    this.streams.delete(url);
  }
}
