import type http from 'node:http';
import {LoadReportCache, resolveRegion} from '@marigoldspur/membership';
import type {LoadReport, Member} from '@marigoldspur/messages';
import {followLoadReports} from './load-report-stream.js';

/** What the loads of a region are followed with. */
export interface RegionLoadFollowerOptions {
  /** The members known now. */
  readonly members: () => readonly Member[];
  /** Name of the region. */
  readonly region: string;
  readonly agent: http.Agent;
}

/** Pace at which relays that are new, gone or lost are looked for, in milliseconds. */
const LOOK_MS = 250;

/** Follows the load reports of the targets of a region, each relay's by a stream of its own. */
export class RegionLoadFollower {
  private readonly view = new LoadReportCache();
  private readonly streams = new Map<string, AbortController>();
  private foreignZones: ReadonlySet<string> = new Set();
  private timer?: NodeJS.Timeout;

  constructor(private readonly options: RegionLoadFollowerOptions) {}

  start(): void {
    this.timer = setInterval(() => this.look(performance.now()), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.streams.forEach(stream => stream.abort());
  }

  /** The load report of a member, where one is known. */
  loadOf(member: Member): LoadReport | undefined {
    return this.view.loadOf(member);
  }

  /** Whether a member may be in the region, so that its load can be known here. */
  isInRegion(member: Member): boolean {
    return !this.foreignZones.has(member.zone);
  }

  private look(now: number): void {
    const region = resolveRegion(this.options.members(), this.options.region);
    this.foreignZones = region.foreignZones;
    this.view.expire(now);
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
        this.view.applyChanges(url, changes, isFirst);
        isFirst = false;
      },
    });
    this.view.markSourceLost(url, performance.now());
    this.streams.delete(url);
  }
}
