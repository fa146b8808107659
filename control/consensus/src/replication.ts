import type {ConsensusOptions} from './consensus-options.js';
import type {Entry} from './entry.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {Progress} from './progress.js';
import type {ReplicaState} from './replica-state.js';
import type {SnapshotSender} from './snapshot-sender.js';

/** How long a commit waits for an entry to carry it to the others. */
const COMMIT_ANNOUNCE_MS = 10;

const MAX_APPEND_BYTES = 1_048_576;
const MAX_APPEND_ENTRIES = 512;
const MAX_UNANSWERED_ENTRIES = 4_096;

/** A leader's sending of entries, commits and heartbeats. */
export class Replication {
  private currentRound = 1;
  private heartbeatAt: number;
  private isDue = true;
  /** When a commit is told that no entry has carried by then. */
  private announceAt = Infinity;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly table: ProgressTracker,
    private readonly transfers: SnapshotSender,
    now: number,
  ) {
    this.heartbeatAt = now + options.heartbeatMs;
  }

  /** Round of contact; answers repeat it. */
  get round(): number {
    return this.currentRound;
  }

  /** When the next heartbeat or the news of a commit is due. */
  get dueAt(): number {
    return Math.min(this.heartbeatAt, this.announceAt);
  }

  /** Whether the next heartbeat is due. */
  isHeartbeatDue(now: number): boolean {
    return now >= this.heartbeatAt;
  }

  /** Notes that an entry waits to be sent. */
  scheduleAppend(): void {
    this.isDue = true;
  }

  /** Notes that a commit waits to be told. */
  scheduleCommitNotice(now: number): void {
    this.announceAt = Math.min(this.announceAt, now + COMMIT_ANNOUNCE_MS);
  }

  /** Begins a round of contact with every replica. */
  broadcast(now: number): void {
    this.currentRound += 1;
    this.heartbeatAt = now + this.options.heartbeatMs;
    this.isDue = false;
    this.announceAt = Infinity;
    for (const [id, progress] of this.table.others(this.state.id)) {
      this.sendAppend(id, progress, now, true);
    }
  }

  /** Sends what is new, where something is. */
  sendPending(now: number): void {
    if (!this.isDue && now < this.announceAt) {
      return;
    }
    this.isDue = false;
    this.announceAt = Infinity;
    for (const [id, progress] of this.table.others(this.state.id)) {
      const unanswered = progress.nextIndex - 1 - progress.matchIndex;
      if (unanswered < MAX_UNANSWERED_ENTRIES) {
        this.sendAppend(id, progress, now, false);
      }
    }
  }

  /** Sends the entries that a replica lacks, or the snapshot before them. */
  sendAppend(
    to: string,
    progress: Progress,
    now: number,
    isHeartbeat: boolean,
  ): void {
    if (progress.snapshot !== undefined) {
      this.keepContact(to, progress, now, isHeartbeat);
      return;
    }
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.state.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.transfers.start(to, progress, this.round, now);
      return;
    }
    const entries = this.state.log.entriesFrom(
      progress.nextIndex,
      this.options.maxAppendBytes ?? MAX_APPEND_BYTES,
      MAX_APPEND_ENTRIES,
    );
    progress.nextIndex += entries.length;
    this.sendEntries(to, previousIndex, previousTerm, entries);
  }

  /** Keeps contact with a replica in the middle of a snapshot. */
  private keepContact(
    to: string,
    progress: Progress,
    now: number,
    isHeartbeat: boolean,
  ): void {
    if (!isHeartbeat) {
      return;
    }
    if (!this.transfers.resendIfDue(to, progress, this.round, now)) {
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
