import type http from 'node:http';
import {
  FLEET_MESSAGE_SCHEMA,
  FLEET_PATH,
  FLEET_MAX_INTERVAL_MS,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {FleetView, type FleetChange} from '@marigoldspur/fleet-view';
import {openLineStream} from './line-stream.js';

/** What a fleet follower works with. */
export interface FleetFollowerOptions {
  /** Base URLs of replicas that are known from the start. */
  readonly seeds: readonly string[];
  readonly agent: http.Agent;
  readonly events: EventLog;
  /** Called after each message that changed something. */
  readonly onChange: (change: FleetChange) => void;
}

/** A stream that misses three messages is lost. */
const SILENCE_MS = 3 * FLEET_MAX_INTERVAL_MS;
const RETRY_MS = 200;
const UPKEEP_MS = 500;

interface Link {
  close: () => void;
  followed: boolean;
}

/** Keeps a stream open from each replica of control that it knows. */
export class FleetFollower {
  readonly view = new FleetView();
  private readonly links = new Map<string, Link>();
  private readonly retries = new Set<NodeJS.Timeout>();
  private readonly upkeep: NodeJS.Timeout;
  private seeds: readonly string[];
  private stopped = false;
  private confirmed = false;

  constructor(private readonly options: FleetFollowerOptions) {
    this.seeds = options.seeds;
    this.openAll();
    this.upkeep = setInterval(() => this.keepUp(), UPKEEP_MS);
  }

  /** Whether a quorum of control has confirmed what is known, once since the start. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** Replicas that are followed now. */
  get followedCount(): number {
    return [...this.links.values()].filter(link => link.followed).length;
  }

  /** Base URLs at which replicas of control may answer. */
  urls(): string[] {
    return [...new Set([...this.view.replicas, ...this.seeds])];
  }

  /** Takes over other base URLs at which replicas may be found first. */
  setSeedUrls(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.openAll();
  }

  stop(): void {
    this.stopped = true;
    clearInterval(this.upkeep);
    this.retries.forEach(timer => clearTimeout(timer));
    this.links.forEach(link => link.close());
  }

  private keepUp(): void {
    this.view.dropLostSources(performance.now());
    this.openAll();
  }

  private openAll(): void {
    const wanted = this.urls();
    wanted.filter(url => !this.links.has(url)).forEach(url => this.open(url));
    for (const [url, link] of this.links) {
      if (!wanted.includes(url) && !link.followed) {
        link.close();
        this.links.delete(url);
      }
    }
  }

  private open(url: string): void {
    const link: Link = {close: () => {}, followed: false};
    this.links.set(url, link);
    link.close = openLineStream({
      url: new URL(FLEET_PATH, url),
      agent: this.options.agent,
      idleTimeoutMs: SILENCE_MS,
      onMessage: message => this.take(url, link, message),
      onEnd: reason => this.lost(url, link, reason),
    });
  }

  private take(url: string, link: Link, raw: unknown): void {
    const message = FLEET_MESSAGE_SCHEMA.parse(raw);
    if (message.whole) {
      link.followed = true;
      this.confirmed = true;
      this.options.events.record('fleet-followed', {replica: url});
    }
    this.options.onChange(this.view.applyMessage(url, message));
  }

  private lost(url: string, link: Link, reason: string): void {
    if (link.followed) {
      this.options.events.record('fleet-lost', {replica: url, reason});
    }
    link.followed = false;
    this.view.markSourceLost(url, performance.now());
    const retry = setTimeout(() => {
      this.retries.delete(retry);
      if (this.links.get(url) === link && !this.stopped) {
        this.links.delete(url);
        this.openAll();
      }
    }, RETRY_MS);
    this.retries.add(retry);
  }
}
