import {isVoter, type Configuration} from './configuration.js';
import {EntryLog} from './entry-log.js';
import type {Entry, Snapshot, SnapshotMetadata} from './entry.js';
import type {Message, MessageBody} from './messages.js';
import {Outbox} from './outbox.js';
import {ReadResultBuffer} from './read-result-buffer.js';
import type {
  CommittedUpdate,
  WriteBatch,
  HardState,
  RecoveredState,
  Role,
} from './replica-types.js';

/**
 * State shared by the components of a replica: term, vote, log, and commit and apply
 * progress.
 */
export class ReplicaState {
  role: Role = 'follower';
  /** ID of the leader, if known. */
  leaderId: string | undefined;
  /** The last index known to be committed. */
  commitIndex: number;
  readonly log: EntryLog;
  readonly outbox = new Outbox();
  readonly readResults = new ReadResultBuffer();
  private hardState: HardState;
  private lastApplied: number;
  /** The last index that is synced on this replica. */
  private syncedIndex: number;
  /** A snapshot from the leader that the state machine has not restored yet. */
  private pendingSnapshot: Snapshot | undefined;

  constructor(
    readonly id: string,
    recovered: RecoveredState,
  ) {
    this.hardState = recovered.state;
    this.log = new EntryLog(recovered.snapshot, recovered.entries);
    this.commitIndex = this.log.compactedTo.index;
    this.lastApplied = this.log.compactedTo.index;
    this.syncedIndex = this.log.last.index;
  }

  get group(): string {
    return this.hardState.group;
  }

  get term(): number {
    return this.hardState.term;
  }

  /** ID of the replica that received the vote in the current term; empty if none. */
  get vote(): string {
    return this.hardState.vote;
  }

  /** Index of the last entry passed to the state machine, alone or in a snapshot. */
  get appliedIndex(): number {
    return this.lastApplied;
  }

  /** The configuration in effect: the latest one in the log, committed or not. */
  get configuration(): Configuration {
    return this.log.configuration;
  }

  /** Whether the configuration in effect is committed. */
  get isConfigurationCommitted(): boolean {
    return this.log.configurationIndex <= this.commitIndex;
  }

  /** Whether this replica is a voter. */
  get isVoter(): boolean {
    return isVoter(this.configuration, this.id);
  }

  /** Changes the hard state and queues it to be synced. */
  updateHardState(change: Partial<HardState>): void {
    this.hardState = {...this.hardState, ...change};
    this.outbox.write({operation: 'state', state: this.hardState});
  }

  /**
   * Appends entries at their indexes after removing existing entries from the first
   * index on.
   */
  appendEntries(entries: readonly Entry[]): void {
    this.syncedIndex = Math.min(this.syncedIndex, entries[0].index - 1);
    this.log.truncateAndAppend(entries);
    this.outbox.write({operation: 'entries', entries: [...entries]});
  }

  /** Replaces the whole log with a snapshot. */
  installSnapshot(snapshot: Snapshot): void {
    this.log.reset(snapshot);
    this.syncedIndex = 0;
    this.commitIndex = snapshot.index;
    this.pendingSnapshot = snapshot;
    this.outbox.write({operation: 'install', snapshot});
  }

  /** Raises the commit index; a lower index is ignored. */
  advanceCommitIndex(index: number): void {
    this.commitIndex = Math.max(this.commitIndex, index);
  }

  /** Records that a batch is on disk. */
  markSynced(batch: WriteBatch): void {
    const {index, term} = batch.last;
    if (this.log.termAt(index) === term) {
      this.syncedIndex = Math.max(this.syncedIndex, index);
    }
  }

  /** Takes committed and synced content that the state machine has not applied yet. */
  takeCommitted(): CommittedUpdate {
    const {pendingSnapshot} = this;
    const to = Math.min(this.commitIndex, this.syncedIndex);
    if (pendingSnapshot !== undefined) {
      if (this.syncedIndex < pendingSnapshot.index) {
        return {entries: []};
      }
      this.pendingSnapshot = undefined;
      this.lastApplied = Math.max(this.lastApplied, pendingSnapshot.index);
    }
    const entries = this.log.entriesBetween(this.lastApplied, to);
    this.lastApplied = Math.max(this.lastApplied, to);
    return {snapshot: pendingSnapshot, entries};
  }

  /** Metadata for a snapshot of the state machine at the last applied entry. */
  snapshotMetadata(): SnapshotMetadata {
    return {
      index: this.lastApplied,
      term: this.log.termAt(this.lastApplied) ?? 0,
      configuration: this.log.configurationAt(this.lastApplied),
    };
  }

  /** Sends a message that does not depend on a write. */
  send(to: string, body: MessageBody): void {
    this.outbox.send(this.envelope(to, body, this.term));
  }

  /** Sends a message once all operations queued before it are synced. */
  sendAfterSync(to: string, body: MessageBody, term = this.term): void {
    this.outbox.sendAfterSync(this.envelope(to, body, term));
  }

  private envelope(to: string, body: MessageBody, term: number): Message {
    return {...body, group: this.group, from: this.id, to, term} as Message;
  }
}
