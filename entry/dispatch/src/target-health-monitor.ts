import type http from 'node:http';
import type {EventLog} from '@marigoldspur/event-log';
import {openRequest} from '@marigoldspur/http-link';
import {FailureDetector, type Evidence} from '@marigoldspur/suspicion';
import type {Destination} from './target-directory.js';

/** What a target health works with. */
export interface TargetHealthMonitorOptions {
  /** Makes the connections of probes. */
  readonly agent: http.Agent;
  readonly events: EventLog;
}

/** An attempt that waits for bytes from an agent. */
export interface WatchedAttempt {
  readonly destination: Destination;
  /** Bytes that have come so far. */
  readonly bytesRead: () => number;
  /** Called once the agent is silent to its attempts and to probes. */
  readonly onSilent: () => void;
  /** Called once the agent has answered no probe for as long as a member's lease. */
  readonly onLost: () => void;
}

/** Probes of one agent that failed one after another. */
interface FailedProbes {
  count: number;
  lastEndedAt: number;
}

interface Watch extends WatchedAttempt {
  lastBytes: number;
  progressAt: number;
  probedAt: number;
}

const TICK_MS = 100;
/** Time without a byte after which an agent is probed, and again for each further one. */
const SILENCE_MS = 500;
const PROBE_TIMEOUT_MS = 500;
/** Failed probes in a row after which an agent is lost: some 3 s, as long as a member's lease. */
const LOST_AFTER_PROBES = 6;
/** Time after which a failed probe no longer counts, longer than the pause between two. */
const MAX_PROBE_GAP_MS = 10_000;

/** Judges targets by what attempts at them saw, and probes those that are silent. */
export class TargetHealthMonitor {
  private readonly table = new FailureDetector();
  private readonly destinations = new Map<string, Destination>();
  private readonly watches = new Set<Watch>();
  private readonly failedProbes = new Map<string, FailedProbes>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: TargetHealthMonitorOptions) {
    this.timer = setInterval(() => this.tick(performance.now()), TICK_MS);
    this.timer.unref();
  }

  /** The destinations to choose from at time `now`, in milliseconds: all, where most are suspected. */
  usable<T extends Destination>(destinations: readonly T[], now: number): T[] {
    const {usable} = this.table.assess(destinations.map(keyOf), now);
    const keys = new Set(usable);
    return destinations.filter(destination => keys.has(keyOf(destination)));
  }

  /** Takes evidence against a destination. */
  recordFailure(
    destination: Destination,
    evidence: Evidence,
    now: number,
  ): void {
    const key = keyOf(destination);
    const before = this.table.isSuspected(key, now);
    this.destinations.set(key, destination);
    this.table.recordFailure(key, evidence, now);
    if (!before && this.table.isSuspected(key, now)) {
      const {target} = destination;
      this.options.events.record('target-suspected', {target, evidence});
    }
  }

  /** Takes an answer of a destination at time `now`. */
  recordSuccess(destination: Destination, now: number): void {
    const key = keyOf(destination);
    if (this.table.isSuspected(key, now)) {
      const {target} = destination;
      this.options.events.record('target-trusted', {target});
    }
    this.table.recordSuccess(key);
    this.destinations.delete(key);
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

  private tick(now: number): void {
    const due = new Map<string, Destination>();
    for (const key of this.table.probesDue(now)) {
      const destination = this.destinations.get(key);
      if (destination !== undefined) {
        due.set(key, destination);
      }
    }
    for (const watch of this.watches) {
      if (this.isSilent(watch, now)) {
        watch.probedAt = now;
        due.set(keyOf(watch.destination), watch.destination);
      }
    }
    due.forEach(destination => void this.probe(destination));
  }

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
    const alive = await this.answersProbe(destination);
    const now = performance.now();
    if (alive) {
      this.recordSuccess(destination, now);
      return;
    }
    this.recordFailure(destination, 'timeout', now);
    const key = keyOf(destination);
    const failures = this.countFailure(key, sentAt, now);
    if (!this.table.isSuspected(key, now)) {
      return;
    }
    for (const watch of [...this.watches]) {
      if (keyOf(watch.destination) === key && this.isWaiting(watch, now)) {
        watch.onSilent();
        if (failures >= LOST_AFTER_PROBES) {
          watch.onLost();
        }
      }
    }
  }

  /**
   * Counts a failed probe, and gives how many failed one after another. Probes that
   * overlap count once, so that a pause of this process is no more than one failure.
   */
  private countFailure(key: string, sentAt: number, now: number): number {
    this.forgetFailures(now);
    const before = this.failedProbes.get(key) ?? {
      count: 0,
      lastEndedAt: -Infinity,
    };
    if (sentAt >= before.lastEndedAt) {
      this.failedProbes.set(key, {count: before.count + 1, lastEndedAt: now});
    }
    return this.failedProbes.get(key)!.count;
  }

  /** Failures go on in a row only where probes do. */
  private forgetFailures(now: number): void {
    for (const [key, {lastEndedAt}] of this.failedProbes) {
      if (now - lastEndedAt > MAX_PROBE_GAP_MS) {
        this.failedProbes.delete(key);
      }
    }
  }

  private isWaiting(watch: Watch, now: number): boolean {
    return now - watch.progressAt >= SILENCE_MS;
  }

  private answersProbe(destination: Destination): Promise<boolean> {
    return new Promise(resolve => {
      const call = openRequest({
        url: new URL('/healthz', destination.url),
        method: 'GET',
        headers: {},
        agent: this.options.agent,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      call.on('response', answer => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      call.on('error', () => resolve(false));
      call.end();
    });
  }
}

/** An agent that restarted begins with a clean score. */
function keyOf(destination: Destination): string {
  return `${destination.target}/${destination.boot}`;
}
