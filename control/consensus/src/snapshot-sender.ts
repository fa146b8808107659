import type {ConsensusOptions} from './consensus-options.js';
import type {Snapshot} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {Progress} from './progress.js';
import type {ReplicaState} from './replica-state.js';

const SNAPSHOT_PART_LENGTH = 262_144;

/** Sends a snapshot in parts to replicas that are too far behind for the log. */
export class SnapshotSender {
  private offer: Snapshot | undefined;
  private offerWanted = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly table: ProgressTracker,
  ) {}

  /** Whether a replica needs a snapshot that `take` should give. */
  get needsSnapshot(): boolean {
    return this.offerWanted;
  }

  /** Takes a snapshot to send to all that wait for one. */
  provideSnapshot(snapshot: Snapshot, round: number, now: number): void {
    this.offer = snapshot;
    this.offerWanted = false;
    for (const [id, progress] of this.table.others(this.state.id)) {
      if (progress.snapshot !== undefined) {
        this.start(id, progress, round, now);
      }
    }
  }

  /** Starts to send a snapshot, or asks for one to send. */
  start(to: string, progress: Progress, round: number, now: number): void {
    const {offer} = this;
    if (offer === undefined || offer.index < this.state.log.compactedTo.index) {
      progress.snapshot = {index: Infinity, received: 0, sentAt: now};
      this.offerWanted = true;
      return;
    }
    progress.snapshot = {index: offer.index, received: 0, sentAt: now};
    this.sendPart(to, progress, round, now);
  }

  /** Sends a part again that was not answered for long; false where none is due. */
  resendIfDue(
    to: string,
    progress: Progress,
    round: number,
    now: number,
  ): boolean {
    const transfer = progress.snapshot!;
    const isKnown = transfer.index === this.offer?.index;
    const silentMs = now - transfer.sentAt;
    if (!isKnown || silentMs < this.options.electionTimeoutMs) {
      return false;
    }
    this.sendPart(to, progress, round, now);
    return true;
  }

  /** Sends the part after the one that was answered. */
  stepSnapshotAnswer(
    message: MessageOf<'snapshot-answer'>,
    progress: Progress,
    round: number,
    now: number,
  ): void {
    const transfer = progress.snapshot!;
    if (
      this.offer === undefined ||
      transfer.index !== message.index ||
      message.received === transfer.received
    ) {
      return;
    }
    transfer.received = message.received;
    if (message.received < this.offer.data.length) {
      this.sendPart(message.from, progress, round, now);
    }
  }

  /** Ends the transfer to a replica that holds the snapshot. */
  finishIfComplete(progress: Progress): void {
    const {snapshot} = progress;
    if (snapshot === undefined || progress.matchIndex < snapshot.index) {
      return;
    }
    progress.snapshot = undefined;
    if (!this.table.hasSnapshotTransfer()) {
      this.offer = undefined;
    }
  }

  /** The first index that a replica in the middle of a transfer needs after it. */
  compactionLimit(now: number): number {
    const {offer} = this;
    const isReceived = this.table.hasSnapshotTransfer(
      ({snapshot, heardAt}) =>
        snapshot?.index === offer?.index &&
        now - heardAt < this.options.electionTimeoutMs,
    );
    return offer !== undefined && isReceived ? offer.index : Infinity;
  }

  private sendPart(
    to: string,
    progress: Progress,
    round: number,
    now: number,
  ): void {
    const length = this.options.maxSnapshotPartLength ?? SNAPSHOT_PART_LENGTH;
    const {data, index, term, configuration} = this.offer!;
    const transfer = progress.snapshot!;
    const offset = transfer.received;
    transfer.sentAt = now;
    this.state.send(to, {
      kind: 'snapshot-part',
      index,
      snapshotTerm: term,
      configuration,
      offset,
      total: data.length,
      data: data.slice(offset, offset + length),
      round,
    });
  }
}
