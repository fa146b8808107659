import {MAX_TIMER_MS} from '@marigoldspur/abort-signals';
import type {
  PermitAnswer,
  PermitRequest,
  TargetLimit,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {PermitQueue, StatedLimits} from '@marigoldspur/request-limits';

/** Options of a request limiter. */
export interface RequestLimiterOptions {
  readonly events: EventLog;
  /** Called with limits that are new to this replica. */
  readonly onLimits: (limits: readonly TargetLimit[]) => void;
}

/** Permits of one target. */
interface TargetPermits {
  readonly queue: PermitQueue;
  usedAt: number;
  timer?: NodeJS.Timeout;
}

/**
 * Share of a limit that a replica grants in place of another one that an entry could not
 * reach, because other entries may still reach it.
 */
const STAND_IN_SHARE = 0.5;
/** Time after which the permits of a target that no call asks for are dropped, in milliseconds. */
const IDLE_MS = 60_000;
/** Time for which a limit is passed on to entries that start, in milliseconds. */
const LIMIT_RETENTION_MS = 600_000;

/** Grants the permits of all entries for targets with a limit, at one replica of control. */
export class RequestLimiter {
  private readonly stated = new StatedLimits();
  private readonly targets = new Map<string, TargetPermits>();

  constructor(private readonly options: RequestLimiterOptions) {}

  /** The limits that this replica knows, with their ages at time `now`, in milliseconds. */
  limits(now: number): TargetLimit[] {
    return [...this.stated.entries()].map(([key, {at, perSecond}]) => ({
      ...toIncarnation(key),
      perSecond,
      ageMs: Math.max(0, now - at),
    }));
  }

  /** Adds limits that targets stated, and passes on those that are new. */
  addLimits(limits: readonly TargetLimit[], now: number): void {
    const added = limits.filter(({ageMs, perSecond, ...incarnation}) =>
      this.stated.record(toKey(incarnation), {perSecond, at: now - ageMs}),
    );
    this.stated.dropBefore(now - LIMIT_RETENTION_MS);
    for (const {id, perSecond, ageMs} of added) {
      this.options.events.record('request-limit-changed', {
        target: id,
        perSecond: perSecond ?? 'none',
        source: 'entry',
        ageMs: Math.round(ageMs),
      });
    }
    if (added.length > 0) {
      this.options.onLimits(added);
    }
  }

  /** Resolves to whether a call may be sent, at once or after a wait. */
  async requestPermit(
    {isStandIn, limit, maxWaitMs, priority}: PermitRequest,
    now: number,
  ): Promise<PermitAnswer> {
    this.addLimits([limit], now);
    const key = toKey(limit);
    const {perSecond} = this.stated.entries().get(key) ?? limit;
    if (perSecond === undefined) {
      return {isGranted: true, waitMs: 0};
    }
    const permits = this.permitsOf(key, now);
    permits.queue.setRate(perSecond * (isStandIn ? STAND_IN_SHARE : 1), now);
    return new Promise(resolve => {
      permits.queue.request({priority, maxWaitMs, settle: resolve}, now);
      this.scheduleAdvance(permits, now);
    });
  }

  stop(): void {
    this.targets.forEach(({timer}) => clearTimeout(timer));
  }

  private permitsOf(key: string, now: number): TargetPermits {
    for (const [other, {timer, usedAt}] of this.targets) {
      if (now - usedAt > IDLE_MS) {
        clearTimeout(timer);
        this.targets.delete(other);
      }
    }
    const known = this.targets.get(key);
    const permits = known ?? {queue: new PermitQueue(now), usedAt: now};
    permits.usedAt = now;
    this.targets.set(key, permits);
    return permits;
  }

  private scheduleAdvance(permits: TargetPermits, now: number): void {
    clearTimeout(permits.timer);
    const dueMs = permits.queue.nextDueMs(now);
    if (dueMs !== undefined) {
      const advance = () => {
        const later = performance.now();
        permits.queue.advance(later);
        this.scheduleAdvance(permits, later);
      };
      const delayMs = Math.min(MAX_TIMER_MS, Math.ceil(dueMs));
      permits.timer = setTimeout(advance, delayMs);
    }
  }
}

function toKey({id, bornAt}: Pick<TargetLimit, 'id' | 'bornAt'>): string {
  return `${bornAt}/${id}`;
}

function toIncarnation(key: string): Pick<TargetLimit, 'id' | 'bornAt'> {
  const end = key.indexOf('/');
  return {id: key.slice(end + 1), bornAt: Number(key.slice(0, end))};
}
