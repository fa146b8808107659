import type {ConsensusOptions} from './consensus-options.js';
import type {Entry} from './entry.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {Progress} from './progress.js';
import type {ReplicaState} from './replica-state.js';
import type {SnapshotSender} from './snapshot-sender.js';

/**
 * How long a new commit index waits to be sent along with an entry before it is sent on
 * its own.
 */
const COMMIT_NOTICE_DELAY_MS = 10;

const MAX_APPEND_BYTES = 1_048_576;
const MAX_APPEND_ENTRIES = 512;
/** A replica with this many unanswered entries is sent no more until it answers. */
const MAX_UNANSWERED_ENTRIES = 4_096;
/** The same by their size: a replica that can't write them to its disk keeps them in memory. */
const MAX_UNANSWERED_BYTES = 4_194_304;

/**
 * Sends entries, the commit index and heartbeats from the leader to the other replicas.
 */
export class Replication {
  private currentRound = 1;
  private heartbeatAt: number;
  private hasPendingEntry = true;
  /** When the commit index is sent separately if no entry has been sent with it by then. */
  private commitNoticeAt = Infinity;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly tracker: ProgressTracker,
    private readonly snapshotSender: SnapshotSender,
    now: number,
  ) {
    this.heartbeatAt = now + options.heartbeatMs;
  }

  /** Current heartbeat round; answers echo it. */
  get round(): number {
    return this.currentRound;
  }

  /** When the next heartbeat or commit notice is due. */
  get dueAt(): number {
    return Math.min(this.heartbeatAt, this.commitNoticeAt);
  }

  /** Whether the next heartbeat is due. */
  isHeartbeatDue(now: number): boolean {
    return now >= this.heartbeatAt;
  }

  /** Marks that a new entry is ready to be sent. */
  scheduleAppend(): void {
    this.hasPendingEntry = true;
  }

  /** Schedules sending the commit index to the other replicas. */
  scheduleCommitNotice(now: number): void {
    this.commitNoticeAt = Math.min(
      this.commitNoticeAt,
      now + COMMIT_NOTICE_DELAY_MS,
    );
  }

  /** Starts a new heartbeat round: sends an append message to every other replica. */
  broadcast(now: number): void {
    this.currentRound += 1;
    this.heartbeatAt = now + this.options.heartbeatMs;
    this.hasPendingEntry = false;
    this.commitNoticeAt = Infinity;
    for (const [id, progress] of this.tracker.others(this.state.id)) {
      this.sendAppend(id, progress, now, true);
    }
  }

  /** Sends new entries and a due commit notice, if any. */
  sendPending(now: number): void {
    if (!this.hasPendingEntry && now < this.commitNoticeAt) {
      return;
    }
    this.hasPendingEntry = false;
    this.commitNoticeAt = Infinity;
    for (const [id, progress] of this.tracker.others(this.state.id)) {
      const unanswered = progress.nextIndex - 1 - progress.matchIndex;
      if (unanswered < MAX_UNANSWERED_ENTRIES) {
        this.sendAppend(id, progress, now, false);
      }
    }
  }

  /**
   * Sends the entries that a replica lacks, or a snapshot if those entries are
   * compacted.
   */
  sendAppend(
    to: string,
    progress: Progress,
    now: number,
    isHeartbeat: boolean,
  ): void {
    if (progress.snapshot !== undefined) {
      this.sendSnapshotHeartbeat(to, progress, now, isHeartbeat);
      return;
    }
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.state.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.snapshotSender.start(to, progress, this.round, now);
      return;
    }
    progress.sentFrom = Math.min(progress.sentFrom, progress.nextIndex);
    const entries =
      this.unansweredBytes(progress) < MAX_UNANSWERED_BYTES
        ? this.state.log.entriesFrom(
            progress.nextIndex,
            this.options.maxAppendBytes ?? MAX_APPEND_BYTES,
            MAX_APPEND_ENTRIES,
          )
        : [];
    progress.nextIndex += entries.length;
    this.sendEntries(to, previousIndex, previousTerm, entries);
  }

  /** Size of the entries that were sent to a replica and not answered, in bytes. */
  private unansweredBytes(progress: Progress): number {
    const answered = Math.max(progress.matchIndex, progress.sentFrom - 1);
    return this.state.log.bytesBetween(answered, progress.nextIndex - 1);
  }

  /**
   * Sends a heartbeat to a replica that is receiving a snapshot, or resends a lost
   * part.
   */
  private sendSnapshotHeartbeat(
    to: string,
    progress: Progress,
    now: number,
    isHeartbeat: boolean,
  ): void {
    if (!isHeartbeat) {
      return;
    }
    if (!this.snapshotSender.resendIfDue(to, progress, this.round, now)) {
      this.sendEntries(to, 0, 0, []);
    }
  }

  private sendEntries(
    to: string,
    previousIndex: number,
    previousTerm: number,
    entries: Entry[],
  ): void {
    this.state.send(to, {
      kind: 'append',
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.state.commitIndex,
      round: this.round,
    });
  }
}
