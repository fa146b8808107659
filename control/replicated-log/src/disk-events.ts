import type {Fault} from '@marigoldspur/faults';
import type {EventLog} from '@marigoldspur/event-log';

/** Records when the disk of a replica begins and ceases to refuse operations. */
export class DiskEvents {
  private refusal: Fault | undefined;

  constructor(private readonly events: EventLog) {}

  /** Takes why the disk refused the latest operation; undefined if it did not. */
  record(refusal: Fault | undefined): void {
    const previous = this.refusal;
    this.refusal = refusal;
    if (previous?.code === refusal?.code) {
      return;
    }
    if (previous !== undefined) {
      this.events.record(
        previous.code === 'DISK_FULL' ? 'disk-has-room' : 'disk-recovered',
      );
    }
    if (refusal?.code === 'DISK_FULL') {
      this.events.record('disk-full');
    } else if (refusal !== undefined) {
      this.events.record('disk-failed', {reason: refusal.message});
    }
  }
}
