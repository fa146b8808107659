import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {StatedLimits} from '@marigoldspur/request-limits';
import {incarnationOf} from './incarnation.js';

/** Options of target limits. */
export interface TargetLimitsOptions {
  readonly events: EventLog;
}

/** The request limits that targets stated. */
export class TargetLimits {
  private readonly stated = new StatedLimits();

  constructor(private readonly options: TargetLimitsOptions) {}

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
    const incarnation = incarnationOf(target);
    if (this.stated.recordResponse(incarnation, perSecond, sentAt, now)) {
      this.options.events.record('request-limit-changed', {
        target: target.id,
        perSecond: perSecond ?? 'none',
        source: 'response',
        ageMs: 0,
      });
    }
  }

  /** Forgets the targets that are no longer known. */
  retain(targets: readonly TargetAnnouncement[]): void {
    this.stated.retain(new Set(targets.map(incarnationOf)));
  }
}
