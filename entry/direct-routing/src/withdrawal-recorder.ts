import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {incarnationOf} from './incarnation.js';

/** Records when this process learns that a target takes no more calls. */
export class WithdrawalRecorder {
  /** IDs of the targets that take calls, by their incarnation. */
  private available = new Map<string, string>();

  constructor(private readonly events: EventLog) {}

  /** Compares the known targets with those of the last update. */
  update(targets: readonly TargetAnnouncement[]): void {
    const known = new Set(targets.map(incarnationOf));
    const available = new Map(
      targets
        .filter(({leaving}) => !leaving)
        .map(target => [incarnationOf(target), target.id]),
    );
    for (const [incarnation, target] of this.available) {
      if (!available.has(incarnation)) {
        const reason = known.has(incarnation) ? 'leaving' : 'ended';
        this.events.record('target-withdrawn', {target, reason});
      }
    }
    this.available = available;
  }
}
