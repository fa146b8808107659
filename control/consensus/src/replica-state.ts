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

/** What the parts of a replica share: its term and vote, its log and how far that got. */
export class ReplicaState {
  role: Role = 'follower';
  /** Identity of the leader, where known. */
  leaderId: string | undefined;
  /** The last index known to be committed. */
  commitIndex: number;
  readonly log: EntryLog;
  readonly outbox = new Outbox();
  readonly reads = new ReadResultBuffer();
  private hardState: HardState;
  private applied: number;
  /** The last index that is synced here. */
  private persisted: number;
  private installed: Snapshot | undefined;

  constructor(
    readonly id: string,
    recovered: RecoveredState,
  ) {
    this.hardState = recovered.state;
    this.log = new EntryLog(recovered.snapshot, recovered.entries);
    this.commitIndex = this.log.compactedTo.index;
    this.applied = this.log.compactedTo.index;
    this.persisted = this.log.last.index;
  }

  get group(): string {
    return this.hardState.group;
  }

  get term(): number {
    return this.hardState.term;
  }

  /** Identity that got the vote of the term; empty for none. */
  get vote(): string {
    return this.hardState.vote;
  }

  get appliedIndex(): number {
    return this.applied;
  }

  get configuration(): Configuration {
    return this.log.configuration;
  }

  /** Whether the configuration in effect is committed. */
  get isConfigurationCommitted(): boolean {
    return this.log.configurationIndex <= this.commitIndex;
  }

  /** Whether this replica counts in elections. */
  get isVoter(): boolean {
    return isVoter(this.configuration, this.id);
  }

  /** Changes what must not be forgotten. */
  updateHardState(change: Partial<HardState>): void {
    this.hardState = {...this.hardState, ...change};
    this.outbox.write({operation: 'state', state: this.hardState});
  }

  /** Puts entries at their indexes; what stood there and after is dropped. */
  appendEntries(entries: readonly Entry[]): void {
    this.persisted = Math.min(this.persisted, entries[0].index - 1);
    this.log.truncateAndAppend(entries);
    this.outbox.write({operation: 'entries', entries: [...entries]});
  }

  /** Takes over a snapshot in place of the whole log. */
  installSnapshot(snapshot: Snapshot): void {
    this.log.reset(snapshot);
    this.persisted = 0;
    this.commitIndex = snapshot.index;
    this.installed = snapshot;
    this.outbox.write({operation: 'install', snapshot});
  }

  /** Notes that everything up to an index is committed. */
  advanceCommitIndex(index: number): void {
    this.commitIndex = Math.max(this.commitIndex, index);
  }

  /** A batch is on the disk. */
  markSynced(batch: WriteBatch): void {
    const {index, term} = batch.last;
    if (this.log.termAt(index) === term) {
      this.persisted = Math.max(this.persisted, index);
    }
  }

  /** Committed and synced content that the state machine has not seen yet. */
  takeCommitted(): CommittedUpdate {
    const {installed} = this;
    const to = Math.min(this.commitIndex, this.persisted);
    if (installed !== undefined) {
      if (this.persisted < installed.index) {
        return {entries: []};
      }
      this.installed = undefined;
      this.applied = Math.max(this.applied, installed.index);
    }
    const entries = this.log.entriesBetween(this.applied, to);
    this.applied = Math.max(this.applied, to);
    return {snapshot: installed, entries};
  }

  /** Where a snapshot of the state machine as applied now would stand. */
  snapshotMetadata(): SnapshotMetadata {
    return {
      index: this.applied,
      term: this.log.termAt(this.applied) ?? 0,
      configuration: this.log.configurationAt(this.applied),
    };
  }

  /** Sends a message that depends on no write. */
  send(to: string, body: MessageBody): void {
    this.outbox.send(this.envelope(to, body, this.term));
  }

  /** Sends once everything before it is synced. */
  sendAfterSync(to: string, body: MessageBody, term = this.term): void {
    this.outbox.sendAfterSync(this.envelope(to, body, term));
  }

  private envelope(to: string, body: MessageBody, term: number): Message {
    return {...body, group: this.group, from: this.id, to, term} as Message;
  }
}
