import type {ConsensusOptions} from './consensus-options.js';
import type {Snapshot} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {Progress} from './progress.js';
import type {ReplicaState} from './replica-state.js';

/** Maximum length of a snapshot part, in characters. */
const DEFAULT_MAX_PART_LENGTH = 262_144;

/** Sends a snapshot in parts to replicas whose next entry is compacted. */
export class SnapshotSender {
  private snapshot: Snapshot | undefined;
  private isSnapshotRequested = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly tracker: ProgressTracker,
  ) {}

  /**
   * Whether a replica needs a snapshot that the caller must pass to `provideSnapshot`.
   */
  get needsSnapshot(): boolean {
    return this.isSnapshotRequested;
  }

  /** Supplies a snapshot and starts sending it to all replicas that need one. */
  provideSnapshot(snapshot: Snapshot, round: number, now: number): void {
    this.snapshot = snapshot;
    this.isSnapshotRequested = false;
    for (const [id, progress] of this.tracker.others(this.state.id)) {
      if (progress.snapshot !== undefined) {
        this.start(id, progress, round, now);
      }
    }
  }

  /**
   * Starts sending the snapshot to a replica, or requests a snapshot if there is no
   * usable one.
   */
  start(to: string, progress: Progress, round: number, now: number): void {
    const {snapshot} = this;
    if (
      snapshot === undefined ||
      snapshot.index < this.state.log.compactedTo.index
    ) {
      progress.snapshot = {index: Infinity, received: 0, sentAt: now};
      this.isSnapshotRequested = true;
      return;
    }
    progress.snapshot = {index: snapshot.index, received: 0, sentAt: now};
    this.sendPart(to, progress, round, now);
  }

  /**
   * Resends a part that was not answered within the election timeout; false if none is
   * due.
   */
  resendIfDue(
    to: string,
    progress: Progress,
    round: number,
    now: number,
  ): boolean {
    const transfer = progress.snapshot!;
    const isCurrent = transfer.index === this.snapshot?.index;
    const silentMs = now - transfer.sentAt;
    if (!isCurrent || silentMs < this.options.electionTimeoutMs) {
      return false;
    }
    this.sendPart(to, progress, round, now);
    return true;
  }

  /** Sends the next part after the answered one. */
  stepSnapshotAnswer(
    message: MessageOf<'snapshot-answer'>,
    progress: Progress,
    round: number,
    now: number,
  ): void {
    const transfer = progress.snapshot!;
    if (
      this.snapshot === undefined ||
      transfer.index !== message.index ||
      message.received === transfer.received
    ) {
      return;
    }
    transfer.received = message.received;
    if (message.received < this.snapshot.data.length) {
      this.sendPart(message.from, progress, round, now);
    }
  }

  /** Ends the transfer to a replica that has caught up with the snapshot. */
  finishIfComplete(progress: Progress): void {
    const {snapshot: transfer} = progress;
    if (transfer === undefined || progress.matchIndex < transfer.index) {
      return;
    }
    progress.snapshot = undefined;
    if (!this.tracker.hasSnapshotTransfer()) {
      this.snapshot = undefined;
    }
  }

  /** The last index that may be compacted while a replica is receiving the snapshot. */
  compactionLimit(now: number): number {
    const {snapshot} = this;
    const isTransferring = this.tracker.hasSnapshotTransfer(
      ({snapshot: transfer, lastAnswerAt}) =>
        transfer?.index === snapshot?.index &&
        now - lastAnswerAt < this.options.electionTimeoutMs,
    );
    return snapshot !== undefined && isTransferring ? snapshot.index : Infinity;
  }

  private sendPart(
    to: string,
    progress: Progress,
    round: number,
    now: number,
  ): void {
    const length =
      this.options.maxSnapshotPartLength ?? DEFAULT_MAX_PART_LENGTH;
    const {data, index, term, configuration} = this.snapshot!;
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
