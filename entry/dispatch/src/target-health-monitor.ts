import type http from 'node:http';
import type {EventLog} from '@marigoldspur/event-log';
import {discardBody, openRequest} from '@marigoldspur/http-link';
import {FailureDetector, type Evidence} from '@marigoldspur/failure-detector';
import type {Destination} from './target-directory.js';

/** Options of a target health monitor. */
export interface TargetHealthMonitorOptions {
  /** HTTP agent for the probes. */
  readonly agent: http.Agent;
  readonly events: EventLog;
}

/** An attempt that waits for bytes from an agent. */
export interface WatchedAttempt {
  readonly destination: Destination;
  /** Returns the number of bytes received so far. */
  readonly bytesRead: () => number;
  /**
   * Called once the agent has responded neither to its attempts nor to probes.
   */
  readonly onSilent: () => void;
  /**
   * Called once the agent has responded to no probe for the duration of a
   * member's lease.
   */
  readonly onLost: () => void;
}

/** Consecutive failed probes of one agent. */
interface FailedProbes {
  count: number;
  lastEndedAt: number;
}

interface Watch extends WatchedAttempt {
  lastBytes: number;
  progressAt: number;
  probedAt: number;
}

/** Interval at which due probes are sent, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/**
 * Time without a byte after which an agent is probed, and the interval of
 * further probes, in milliseconds.
 */
const SILENCE_MS = 500;
const PROBE_TIMEOUT_MS = 500;
/**
 * Consecutive failed probes after which an agent counts as lost: about 3 s, the
 * duration of a member's lease.
 */
const LOST_AFTER_PROBES = 6;
/**
 * Time after which a failed probe no longer counts, in milliseconds; longer
 * than the pause between two probes.
 */
const MAX_PROBE_GAP_MS = 10_000;

/**
 * Tracks the health of targets by the results of attempts, and probes silent
 * agents.
 */
export class TargetHealthMonitor {
  private readonly failureDetector = new FailureDetector();
  private readonly suspectedDestinations = new Map<string, Destination>();
  private readonly watches = new Set<Watch>();
  private readonly failedProbes = new Map<string, FailedProbes>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: TargetHealthMonitorOptions) {
    this.timer = setInterval(
      () => this.sendDueProbes(performance.now()),
      CHECK_INTERVAL_MS,
    );
    this.timer.unref();
  }

  /**
   * The destinations to choose from at time `now`, in milliseconds; all of them
   * if most are suspected.
   */
  filterUsable<T extends Destination>(
    destinations: readonly T[],
    now: number,
  ): T[] {
    const {usable} = this.failureDetector.assess(
      destinations.map(instanceKey),
      now,
    );
    const keys = new Set(usable);
    return destinations.filter(destination =>
      keys.has(instanceKey(destination)),
    );
  }

  /** Records evidence against a destination. */
  recordFailure(
    destination: Destination,
    evidence: Evidence,
    now: number,
  ): void {
    const key = instanceKey(destination);
    const wasSuspected = this.failureDetector.isSuspected(key, now);
    this.suspectedDestinations.set(key, destination);
    this.failureDetector.recordFailure(key, evidence, now);
    if (!wasSuspected && this.failureDetector.isSuspected(key, now)) {
      const {target} = destination;
      this.options.events.record('target-suspected', {target, evidence});
    }
  }

  /** Records a response from a destination at time `now`. */
  recordSuccess(destination: Destination, now: number): void {
    const key = instanceKey(destination);
    if (this.failureDetector.isSuspected(key, now)) {
      const {target} = destination;
      this.options.events.record('target-trusted', {target});
    }
    this.failureDetector.recordSuccess(key);
    this.suspectedDestinations.delete(key);
    this.failedProbes.delete(key);
  }

  /** Watches an attempt until the returned function is called. */
  watch(attempt: WatchedAttempt): () => void {
    const now = performance.now();
    const watch = {...attempt, lastBytes: 0, progressAt: now, probedAt: now};
    this.watches.add(watch);
    return () => this.watches.delete(watch);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sendDueProbes(now: number): void {
    const due = new Map<string, Destination>();
    for (const key of this.failureDetector.takeDueProbes(now)) {
      const destination = this.suspectedDestinations.get(key);
      if (destination !== undefined) {
        due.set(key, destination);
      }
    }
    for (const watch of this.watches) {
      if (this.isSilent(watch, now)) {
        watch.probedAt = now;
        due.set(instanceKey(watch.destination), watch.destination);
      }
    }
    due.forEach(destination => void this.probe(destination));
  }

  /** Updates an attempt's progress; returns whether its agent must be probed. */
  private isSilent(watch: Watch, now: number): boolean {
    const bytes = watch.bytesRead();
    if (bytes !== watch.lastBytes) {
      watch.lastBytes = bytes;
      watch.progressAt = now;
    }
    return now - Math.max(watch.progressAt, watch.probedAt) >= SILENCE_MS;
  }

  private async probe(destination: Destination): Promise<void> {
    const sentAt = performance.now();
    const isAlive = await this.isAlive(destination);
    const now = performance.now();
    if (isAlive) {
      this.recordSuccess(destination, now);
      return;
    }
    this.recordFailure(destination, 'timeout', now);
    const key = instanceKey(destination);
    const failures = this.countFailure(key, sentAt, now);
    if (!this.failureDetector.isSuspected(key, now)) {
      return;
    }
    for (const watch of [...this.watches]) {
      if (
        instanceKey(watch.destination) === key &&
        this.isStalled(watch, now)
      ) {
        watch.onSilent();
        if (failures >= LOST_AFTER_PROBES) {
          watch.onLost();
        }
      }
    }
  }

  /**
   * Counts a failed probe and returns the number of consecutive failures.
   * Overlapping probes count once, so that a pause of this process counts as
   * one failure at most.
   */
  private countFailure(key: string, sentAt: number, now: number): number {
    this.removeExpiredFailures(now);
    const before = this.failedProbes.get(key) ?? {
      count: 0,
      lastEndedAt: -Infinity,
    };
    if (sentAt >= before.lastEndedAt) {
      this.failedProbes.set(key, {count: before.count + 1, lastEndedAt: now});
    }
    return this.failedProbes.get(key)!.count;
  }

  /**
   * Failures count as consecutive only if the probes follow each other closely.
   */
  private removeExpiredFailures(now: number): void {
    for (const [key, {lastEndedAt}] of this.failedProbes) {
      if (now - lastEndedAt > MAX_PROBE_GAP_MS) {
        this.failedProbes.delete(key);
      }
    }
  }

  private isStalled(watch: Watch, now: number): boolean {
    return now - watch.progressAt >= SILENCE_MS;
  }

  private isAlive(destination: Destination): Promise<boolean> {
    return new Promise(resolve => {
      const request = openRequest({
        url: new URL('/healthz', destination.url),
        method: 'GET',
        headers: {},
        agent: this.options.agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      request.on('response', response => {
        discardBody(response);
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
      request.end();
    });
  }
}

/**
 * The key of a destination; it contains the boot ID, so that a restarted agent
 * is not suspected.
 */
function instanceKey(destination: Destination): string {
  return `${destination.target}/${destination.boot}`;
}
