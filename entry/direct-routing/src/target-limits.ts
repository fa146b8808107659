import type {
  PermitAnswer,
  TargetAnnouncement,
  TargetLimit,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {StatedLimits} from '@marigoldspur/request-limits';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import {incarnationOf} from './incarnation.js';
import type {PermitClient} from './permit-client.js';

/** Options of target limits. */
export interface TargetLimitsOptions {
  readonly permitClient: Pick<PermitClient, 'request' | 'broadcastLimits'>;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** A call that needs a permit if its target has a limit. */
export interface PermitSeekingCall {
  readonly id: string;
  readonly priority: number;
  /** Maximum time that the call waits for a permit, in milliseconds. */
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
}

/** A target without a permit for a call that does not wait. */
interface BusyTarget {
  readonly id: string;
  /** Expected end of that state, in milliseconds. */
  readonly until: number;
}

/** Change of a limit, as a share of it, from which other entries are told. */
const MIN_REPORTED_CHANGE = 0.1;
const GRANTED: PermitAnswer = {isGranted: true, waitMs: 0};

/** The request limits that targets stated, and the permits that calls to these targets need. */
export class TargetLimits {
  private readonly stated = new StatedLimits();
  /** Limits that other entries were told last, by incarnation. */
  private readonly reported = new Map<string, number>();
  /** Targets without a permit for a call that does not wait, by incarnation. */
  private readonly busy = new Map<string, BusyTarget>();

  constructor(private readonly options: TargetLimitsOptions) {}

  /** All limits that this entry knows of, with their ages at time `now`, in milliseconds. */
  limits(targets: readonly TargetAnnouncement[], now: number): TargetLimit[] {
    const known = this.stated.entries();
    return targets.flatMap(({id, bornAt}) => {
      const stated = known.get(incarnationOf({id, bornAt}));
      return stated === undefined
        ? []
        : [{id, bornAt, perSecond: stated.perSecond, ageMs: now - stated.at}];
    });
  }

  /** Whether a target has a limit. */
  isLimited(target: TargetAnnouncement): boolean {
    return this.stated.perSecond(incarnationOf(target)) !== undefined;
  }

  /** IDs of the targets that have no permit at time `now` for a call that does not wait. */
  busyTargets(now: number): string[] {
    const ids: string[] = [];
    for (const [incarnation, {id, until}] of this.busy) {
      if (until <= now || this.stated.perSecond(incarnation) === undefined) {
        this.busy.delete(incarnation);
      } else {
        ids.push(id);
      }
    }
    return ids;
  }

  /** Resolves to whether a call may be sent to a target now. */
  async acquire(
    target: TargetAnnouncement,
    call: PermitSeekingCall,
  ): Promise<PermitAnswer> {
    const incarnation = incarnationOf(target);
    const stated = this.stated.entries().get(incarnation);
    if (stated?.perSecond === undefined) {
      return GRANTED;
    }
    const {id, maxWaitMs, priority, signal} = call;
    const limit = {
      id: target.id,
      bornAt: target.bornAt,
      perSecond: stated.perSecond,
      ageMs: performance.now() - stated.at,
    };
    const {permitClient, events, metrics} = this.options;
    const answer = await permitClient.request(
      {limit, priority, maxWaitMs},
      signal,
    );
    metrics.recordPermit(answer.isGranted);
    if (!answer.isGranted) {
      const waitMs = Math.round(answer.waitMs);
      const {perSecond} = limit;
      const details = {target: target.id, perSecond, waitMs};
      events.record('request-permit-denied', details, id);
      const until = performance.now() + answer.waitMs;
      this.busy.set(incarnation, {id: target.id, until});
    }
    return answer;
  }

  /**
   * Records the limit, if any, that a target stated at time `now` in the
   * response to a call that was sent at time `sentAt`, in milliseconds.
   */
  recordResponse(
    target: TargetAnnouncement,
    perSecond: number | undefined,
    sentAt: number,
    now: number,
  ): void {
    const {id, bornAt} = target;
    const incarnation = incarnationOf(target);
    if (this.stated.recordResponse(incarnation, perSecond, sentAt, now)) {
      this.recordChange(target.id, perSecond, 'response', 0);
      if (this.isReportedChange(incarnation, perSecond)) {
        this.reported.set(incarnation, perSecond ?? Infinity);
        const limit = {id, bornAt, perSecond, ageMs: 0};
        this.options.permitClient.broadcastLimits([limit]);
      }
    }
  }

  /** Adds limits that other entries learned. */
  addLimits(limits: readonly TargetLimit[], now: number): void {
    for (const {id, bornAt, perSecond, ageMs} of limits) {
      const incarnation = incarnationOf({id, bornAt});
      if (this.stated.record(incarnation, {perSecond, at: now - ageMs})) {
        this.reported.set(incarnation, perSecond ?? Infinity);
        this.recordChange(id, perSecond, 'control', ageMs);
      }
    }
  }

  /** Forgets the targets that are no longer known. */
  retain(targets: readonly TargetAnnouncement[]): void {
    const known = new Set(targets.map(incarnationOf));
    this.stated.retain(known);
    for (const incarnations of [this.reported, this.busy]) {
      for (const incarnation of incarnations.keys()) {
        if (!known.has(incarnation)) {
          incarnations.delete(incarnation);
        }
      }
    }
    this.options.metrics.setLimitedTargets(this.countLimited());
  }

  private isReportedChange(incarnation: string, perSecond = Infinity): boolean {
    const last = this.reported.get(incarnation) ?? Infinity;
    return (
      last !== perSecond &&
      !(Math.abs(perSecond - last) < last * MIN_REPORTED_CHANGE)
    );
  }

  private recordChange(
    target: string,
    perSecond: number | undefined,
    source: 'response' | 'control',
    ageMs: number,
  ): void {
    const {events, metrics} = this.options;
    events.record('request-limit-changed', {
      target,
      perSecond: perSecond ?? 'none',
      source,
      ageMs: Math.round(ageMs),
    });
    metrics.setLimitedTargets(this.countLimited());
  }

  private countLimited(): number {
    return [...this.stated.entries().values()].filter(
      ({perSecond}) => perSecond !== undefined,
    ).length;
  }
}
