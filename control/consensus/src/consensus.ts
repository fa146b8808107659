import {
  isVoter,
  majority,
  replicasOf,
  type Configuration,
} from './configuration.js';
import {EntryLog} from './entry-log.js';
import type {Entry, Position, Snapshot, SnapshotPlace} from './entry.js';
import type {Message, MessageBody, MessageOf} from './messages.js';
import {newProgress, type Progress} from './progress.js';
import {ReadQueue, type ConfirmedRead} from './read-queue.js';
import {SnapshotReceiver} from './snapshot-receiver.js';

/** What a replica is to its group at present. */
export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What a replica must not forget: its group, its term and its vote there. */
export interface HardState {
  /** Empty until the replica joins a group. */
  readonly group: string;
  readonly term: number;
  /** Identity that got the vote of the term; empty for none. */
  readonly vote: string;
}

/** One step of what must be durable, in order. */
export type LogOperation =
  | {readonly operation: 'state'; readonly state: HardState}
  /** Puts entries at their indexes and drops what stood there and after. */
  | {readonly operation: 'entries'; readonly entries: readonly Entry[]}
  /** Takes over a snapshot and drops the whole log. */
  | {readonly operation: 'install'; readonly snapshot: Snapshot};

/** Operations to be synced, and the messages that may go out only after that. */
export interface Batch {
  readonly operations: readonly LogOperation[];
  readonly messages: readonly Message[];
  /** The end of the log with the operations done. */
  readonly last: Position;
}

/** Committed and synced content that the state machine has not seen yet. */
export interface Applicable {
  readonly snapshot?: Snapshot;
  readonly entries: readonly Entry[];
}

/** What a replica found on its disk. */
export interface Recovered {
  readonly state: HardState;
  readonly snapshot?: SnapshotPlace;
  readonly entries: readonly Entry[];
}

/** Options of a replica. */
export interface ConsensusOptions {
  /** Identity of the replica. */
  readonly id: string;
  /** Shortest time without a leader before an election; the longest is twice that. */
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /** A number from 0 up to 1; spreads the election timeouts. */
  readonly random: () => number;
  /** Largest content of entries in one message, in bytes; one entry may be larger. */
  readonly appendBytes?: number;
  /** Largest part of a snapshot in one message, in characters. */
  readonly snapshotPartLength?: number;
}

const MAX_APPEND_BYTES = 1_048_576;
const MAX_APPEND_ENTRIES = 512;
/** Shortest wait until an election is held again, as a share of the election timeout; the longest is three times that. */
const RETRY_SHARE = 0.25;
/** How long a commit waits for an entry to carry it to the others. */
export const COMMIT_ANNOUNCE_MS = 10;
const MAX_UNANSWERED_ENTRIES = 4_096;
/** Entries that are kept at most for replicas that receive a snapshot. */
const MAX_HELD_ENTRIES = 100_000;
const SNAPSHOT_PART_LENGTH = 262_144;

/**
 * The decisions of one replica after Raft (Ongaro, 2014) with pre-vote, quorum
 * check, read index, learners and one-at-a-time change of voters. It owns no
 * clock, disk or socket: each deciding method takes the present time in
 * milliseconds, and what is to be sent, synced and applied is taken from it.
 */
export class Consensus {
  private currentRole: Role = 'follower';
  private state: HardState;
  private leader: string | undefined;
  private readonly log: EntryLog;
  private commit: number;
  private applied: number;
  /** The last index that is synced here. */
  private persisted: number;
  private votes = new Set<string>();
  private progress = new Map<string, Progress>();
  private electionAt = 0;
  private heartbeatAt = 0;
  private leaderHeardAt = -Infinity;
  private round = 0;
  private termStart = 0;
  private reads = new ReadQueue();
  private receiver = new SnapshotReceiver();
  private offer: Snapshot | undefined;
  private offerWanted = false;
  private installed: Snapshot | undefined;
  private handOverTo: string | undefined;
  private handOverUntil = 0;
  private handOverSent = false;
  private replicationDue = false;
  /** When a commit is told that no entry has carried by then. */
  private announceAt = Infinity;
  private messages: Message[] = [];
  private operations: LogOperation[] = [];
  private heldMessages: Message[] = [];
  private readResults: ConfirmedRead[] = [];
  private failedReads: string[] = [];

  constructor(
    private readonly options: ConsensusOptions,
    recovered: Recovered,
    now: number,
  ) {
    this.state = recovered.state;
    this.log = new EntryLog(recovered.snapshot, recovered.entries);
    this.commit = this.log.start.index;
    this.applied = this.log.start.index;
    this.persisted = this.log.last.index;
    this.resetElection(now);
  }

  get id(): string {
    return this.options.id;
  }

  get role(): Role {
    return this.currentRole;
  }

  get term(): number {
    return this.state.term;
  }

  get group(): string {
    return this.state.group;
  }

  /** Identity of the leader, where known. */
  get leaderId(): string | undefined {
    return this.leader;
  }

  get commitIndex(): number {
    return this.commit;
  }

  get appliedIndex(): number {
    return this.applied;
  }

  get lastIndex(): number {
    return this.log.last.index;
  }

  /** The place before the first entry that is still held. */
  get compactedTo(): SnapshotPlace {
    return this.log.start;
  }

  /** The configuration in effect. */
  get configuration(): Configuration {
    return this.log.configuration;
  }

  /** Whether the configuration in effect is committed. */
  get configurationCommitted(): boolean {
    return this.log.configurationIndex <= this.commit;
  }

  /** Whether the leader committed an entry of its own term. */
  get leaderReady(): boolean {
    return this.role === 'leader' && this.commit >= this.termStart;
  }

  /** The term of an entry; undefined where it is compacted away or not there. */
  termAt(index: number): number | undefined {
    return this.log.termAt(index);
  }

  /** What this leader knows about a replica. */
  progressOf(id: string): Readonly<Progress> | undefined {
    return this.progress.get(id);
  }

  /** Forms a new group with this replica as its only voter. */
  bootstrap(group: string, url: string, now: number): void {
    if (this.state.group !== '' || this.log.last.index > 0) {
      throw new Error('only an empty replica can form a group');
    }
    const voters = [{id: this.id, url}];
    this.saveState({group, term: 1, vote: ''});
    this.putEntries([
      {
        index: 1,
        term: 1,
        bytes: 0,
        content: {kind: 'configuration', configuration: {voters, learners: []}},
      },
    ]);
    this.electionAt = now;
  }

  /** Acts on the passing of time. */
  tick(now: number): void {
    if (this.role === 'leader') {
      this.tickLeader(now);
    } else if (now >= this.electionAt) {
      this.resetElection(now);
      if (this.mayCampaign()) {
        this.campaign(
          this.preVotes() ? 'pre-candidate' : 'candidate',
          false,
          now,
        );
      }
    }
  }

  /** Takes a message. */
  step(message: Message, now: number): void {
    if (message.to !== this.id || !this.acceptsGroup(message)) {
      return;
    }
    if (message.kind === 'pre-vote') {
      this.stepPreVote(message, now);
      return;
    }
    if (message.kind === 'pre-vote-answer' && message.granted) {
      this.stepPreVoteGranted(message, now);
      return;
    }
    if (message.kind === 'vote' && this.ignoresVote(message, now)) {
      return;
    }
    if (message.term > this.term) {
      this.becomeFollower(message.term, undefined, now);
    }
    if (message.term < this.term) {
      this.answerStale(message);
      return;
    }
    this.stepCurrent(message, now);
  }

  /** Appends a command; undefined where this replica takes none. `bytes` is its size as JSON. */
  propose(command: unknown, bytes: number, now: number): Position | undefined {
    if (this.role !== 'leader' || this.handOverTo !== undefined) {
      return undefined;
    }
    return this.appendOwn({kind: 'command', command}, bytes, now);
  }

  /** Changes the configuration, by one voter at a time; false where that must wait. */
  changeConfiguration(configuration: Configuration, now: number): boolean {
    if (!this.leaderReady || !this.configurationCommitted) {
      return false;
    }
    if (!this.votersMayChange(this.configuration, configuration)) {
      return false;
    }
    this.appendOwn({kind: 'configuration', configuration}, 0, now);
    return true;
  }

  /** Starts a fresh read; its index comes with `takeReads` under `key`. */
  read(key: string): void {
    if (this.role === 'leader') {
      this.takeRead(this.id, key);
    } else if (this.leader !== undefined) {
      this.send(this.leader, {kind: 'read', key});
    } else {
      this.failedReads.push(key);
    }
  }

  /** Reads whose index is confirmed, and keys of reads that failed. */
  takeReads(): {confirmed: ConfirmedRead[]; failed: string[]} {
    const taken = {confirmed: this.readResults, failed: this.failedReads};
    this.readResults = [];
    this.failedReads = [];
    return taken;
  }

  /** Hands leadership to the voter that is furthest; false where there is none. */
  handOver(now: number): boolean {
    if (this.role !== 'leader') {
      return false;
    }
    const target = this.configuration.voters
      .filter(voter => voter.id !== this.id)
      .map(voter => ({id: voter.id, progress: this.progress.get(voter.id)}))
      .filter(
        ({progress}) =>
          progress !== undefined &&
          now - progress.heardAt < this.options.electionTimeoutMs,
      )
      .sort((a, b) => b.progress!.match - a.progress!.match)
      .at(0);
    if (target === undefined) {
      return false;
    }
    this.handOverTo = target.id;
    this.handOverUntil = now + this.options.electionTimeoutMs;
    this.handOverSent = false;
    this.finishHandOver();
    return true;
  }

  /** Messages that may go out at once. */
  takeMessages(now: number): Message[] {
    if (this.role === 'leader') {
      this.sendDue(now);
    }
    const taken = this.messages;
    this.messages = [];
    return taken;
  }

  /** Whether `takeBatch` has something. */
  get hasBatch(): boolean {
    return this.operations.length > 0 || this.heldMessages.length > 0;
  }

  /** What is to be synced next; call `synced` with it before taking another. */
  takeBatch(): Batch | undefined {
    if (!this.hasBatch) {
      return undefined;
    }
    const batch = {
      operations: this.operations,
      messages: this.heldMessages,
      last: this.log.last,
    };
    this.operations = [];
    this.heldMessages = [];
    return batch;
  }

  /** A batch is on the disk; its messages may go out, those to oneself through `step`. */
  synced(batch: Batch): void {
    const {index, term} = batch.last;
    if (this.log.termAt(index) === term) {
      this.persisted = Math.max(this.persisted, index);
    }
  }

  /** Committed and synced content that the state machine has not seen yet. */
  takeApplicable(): Applicable {
    const {installed} = this;
    const to = Math.min(this.commit, this.persisted);
    if (installed !== undefined) {
      if (this.persisted < installed.index) {
        return {entries: []};
      }
      this.installed = undefined;
      this.applied = Math.max(this.applied, installed.index);
    }
    const entries = this.log.between(this.applied, to);
    this.applied = Math.max(this.applied, to);
    return {snapshot: installed, entries};
  }

  /** Where a snapshot of the state machine as applied now would stand. */
  appliedPlace(): SnapshotPlace {
    return {
      index: this.applied,
      term: this.log.termAt(this.applied) ?? 0,
      configuration: this.log.configurationAt(this.applied),
    };
  }

  /**
   * Drops entries that a durable snapshot covers, but for those that a replica
   * which receives a snapshot needs after it.
   */
  compact(index: number, now: number): void {
    const needed = this.receivesSnapshot(now) ? this.offer!.index : Infinity;
    const heldTooMany = index - this.log.start.index > MAX_HELD_ENTRIES;
    const limit = heldTooMany ? Infinity : needed;
    this.log.compact(Math.min(index, this.applied, limit));
  }

  /** Whether a replica needs a snapshot that `offerSnapshot` should give. */
  get wantsSnapshot(): boolean {
    return this.offerWanted && this.role === 'leader';
  }

  /** Gives a snapshot to be transferred to replicas that are too far behind. */
  offerSnapshot(snapshot: Snapshot, now: number): void {
    this.offer = snapshot;
    this.offerWanted = false;
    for (const [id, progress] of this.progress) {
      if (progress.snapshot !== undefined) {
        this.startSnapshot(id, progress, now);
      }
    }
  }

  /** Whether elections are preceded by a pre-vote. */
  protected preVotes(): boolean {
    return true;
  }

  /** Whether an entry may count as committed once a majority holds it. */
  protected mayCommit(index: number): boolean {
    return this.log.termAt(index) === this.term;
  }

  /** Whether this replica may give votes at all: an empty one has lost what it voted. */
  protected mayVote(): boolean {
    return this.log.last.index > 0;
  }

  /** Whether a candidate's log holds all that this one holds. */
  protected isUpToDate(candidate: {
    lastIndex: number;
    lastTerm: number;
  }): boolean {
    const {index, term} = this.log.last;
    return candidate.lastTerm === term
      ? candidate.lastIndex >= index
      : candidate.lastTerm > term;
  }

  /** Whether a leader must hear a majority to stay leader. */
  protected checksQuorum(): boolean {
    return true;
  }

  /** Whether a vote of the current term stands against another candidate. */
  protected hasVotedForOther(candidate: string): boolean {
    return this.state.vote !== '' && this.state.vote !== candidate;
  }

  /** Whether majorities of two configurations always share a voter. */
  protected votersMayChange(from: Configuration, to: Configuration): boolean {
    return votersChanged(from, to) <= 1;
  }

  /** Whether a read waits until a majority confirms the leader. */
  protected readNeedsMajority(): boolean {
    return true;
  }

  private mayCampaign(): boolean {
    return isVoter(this.configuration, this.id);
  }

  private acceptsGroup(message: Message): boolean {
    if (message.group === this.group) {
      return this.group !== '';
    }
    const leads = message.kind === 'append' || message.kind === 'snapshot-part';
    if (this.group !== '' || !leads) {
      return false;
    }
    this.saveState({...this.state, group: message.group});
    return true;
  }

  // Elections.

  private campaign(
    role: 'pre-candidate' | 'candidate',
    handOver: boolean,
    now: number,
  ): void {
    this.loseLeadership();
    this.currentRole = role;
    this.leader = undefined;
    this.votes = new Set();
    const {index: lastIndex, term: lastTerm} = this.log.last;
    const term = this.term + 1;
    if (role === 'candidate') {
      this.saveState({group: this.group, term, vote: this.id});
    }
    for (const voter of this.configuration.voters) {
      if (role === 'pre-candidate' && voter.id !== this.id) {
        const body = {kind: 'pre-vote', lastIndex, lastTerm} as const;
        this.sendHeld(voter.id, body, term);
      } else if (voter.id !== this.id) {
        const body = {kind: 'vote', lastIndex, lastTerm, handOver} as const;
        this.sendHeld(voter.id, body, term);
      }
    }
    const own = role === 'candidate' ? 'vote-answer' : 'pre-vote-answer';
    this.sendHeld(this.id, {kind: own, granted: true}, term);
    this.retryElection(now);
  }

  private stepPreVote(message: MessageOf<'pre-vote'>, now: number): void {
    const granted =
      message.term > this.term &&
      this.mayVote() &&
      !this.hearsLeader(now) &&
      this.isUpToDate(message);
    const body = {kind: 'pre-vote-answer', granted} as const;
    this.sendHeld(message.from, body, granted ? message.term : this.term);
  }

  private stepPreVoteGranted(
    message: MessageOf<'pre-vote-answer'>,
    now: number,
  ): void {
    if (this.role !== 'pre-candidate' || message.term !== this.term + 1) {
      return;
    }
    if (this.countVote(message.from)) {
      this.campaign('candidate', false, now);
    }
  }

  private ignoresVote(message: MessageOf<'vote'>, now: number): boolean {
    return !message.handOver && this.hearsLeader(now);
  }

  private hearsLeader(now: number): boolean {
    if (!this.checksQuorum()) {
      return false;
    }
    return (
      this.role === 'leader' ||
      (this.leader !== undefined &&
        now - this.leaderHeardAt < this.options.electionTimeoutMs)
    );
  }

  private stepVote(message: MessageOf<'vote'>, now: number): void {
    const granted =
      this.mayVote() &&
      this.leader === undefined &&
      !this.hasVotedForOther(message.from) &&
      this.isUpToDate(message);
    if (granted) {
      if (this.state.vote !== message.from) {
        this.saveState({...this.state, vote: message.from});
      }
      this.resetElection(now);
    }
    this.sendHeld(message.from, {kind: 'vote-answer', granted});
  }

  private stepVoteAnswer(message: MessageOf<'vote-answer'>, now: number): void {
    if (this.role !== 'candidate' || !message.granted) {
      return;
    }
    if (this.countVote(message.from)) {
      this.becomeLeader(now);
    }
  }

  private countVote(from: string): boolean {
    const {voters} = this.configuration;
    this.votes.add(from);
    const granted = voters.filter(voter => this.votes.has(voter.id)).length;
    return granted >= majority(voters.length);
  }

  private becomeLeader(now: number): void {
    this.currentRole = 'leader';
    this.leader = this.id;
    this.progress = new Map();
    this.round += 1;
    this.syncProgress(now);
    this.termStart = this.log.last.index + 1;
    this.appendOwn({kind: 'no-op'}, 0, now);
    this.heartbeatAt = now + this.options.heartbeatMs;
  }

  private becomeFollower(
    term: number,
    leader: string | undefined,
    now: number,
  ): void {
    this.loseLeadership();
    this.currentRole = 'follower';
    this.leader = leader;
    if (term !== this.term) {
      this.saveState({group: this.group, term, vote: ''});
    }
    this.resetElection(now);
  }

  private loseLeadership(): void {
    if (this.role === 'leader') {
      this.failedReads.push(...this.reads.drop(this.id));
      this.progress = new Map();
      this.offer = undefined;
      this.offerWanted = false;
      this.handOverTo = undefined;
    }
  }

  private resetElection(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.electionAt = now + electionTimeoutMs * (1 + random());
  }

  /** An election that nobody wins is held again sooner than the first: the silence is known. */
  private retryElection(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    const share = RETRY_SHARE * (1 + 2 * random());
    this.electionAt = now + electionTimeoutMs * share;
  }

  // The leader's side of replication.

  private tickLeader(now: number): void {
    if (this.checksQuorum() && !this.hearsMajority(now)) {
      this.becomeFollower(this.term, undefined, now);
      return;
    }
    if (this.handOverTo !== undefined && now >= this.handOverUntil) {
      this.handOverTo = undefined;
    }
    if (now >= this.heartbeatAt) {
      this.broadcast(now);
    }
  }

  private hearsMajority(now: number): boolean {
    const {voters} = this.configuration;
    const heard = voters.filter(voter => {
      const heardAt = this.progress.get(voter.id)?.heardAt ?? -Infinity;
      return (
        voter.id === this.id || now - heardAt < this.options.electionTimeoutMs
      );
    });
    return heard.length >= majority(voters.length);
  }

  private broadcast(now: number): void {
    this.round += 1;
    this.heartbeatAt = now + this.options.heartbeatMs;
    this.replicationDue = false;
    this.announceAt = Infinity;
    for (const [id, progress] of this.progress) {
      if (id !== this.id) {
        this.sendAppend(id, progress, now, true);
      }
    }
    this.confirmReads();
  }

  private appendOwn(content: Entry['content'], bytes: number, now: number) {
    const position = {index: this.log.last.index + 1, term: this.term};
    this.putEntries([{...position, bytes, content}]);
    this.syncProgress(now);
    this.sendHeld(this.id, {
      kind: 'append-answer',
      matched: true,
      index: position.index,
      round: 0,
    });
    this.replicationDue = true;
    return position;
  }

  /** Keeps a progress for each replica of the configuration in effect. */
  private syncProgress(now: number): void {
    const replicas = replicasOf(this.configuration);
    for (const {id} of replicas) {
      if (!this.progress.has(id)) {
        this.progress.set(id, newProgress(this.log.last.index, now));
      }
    }
    for (const id of [...this.progress.keys()]) {
      if (!replicas.some(replica => replica.id === id)) {
        this.progress.delete(id);
      }
    }
  }

  private sendDue(now: number): void {
    if (this.reads.needsRound(this.round)) {
      this.broadcast(now);
    } else if (this.replicationDue || now >= this.announceAt) {
      this.sendNew(now);
    }
  }

  private sendNew(now: number): void {
    this.replicationDue = false;
    this.announceAt = Infinity;
    for (const [id, progress] of this.progress) {
      const unanswered = progress.next - 1 - progress.match;
      if (id !== this.id && unanswered < MAX_UNANSWERED_ENTRIES) {
        this.sendAppend(id, progress, now, false);
      }
    }
  }

  private sendAppend(
    to: string,
    progress: Progress,
    now: number,
    heartbeat: boolean,
  ): void {
    if (progress.snapshot !== undefined) {
      this.continueSnapshot(to, progress, now, heartbeat);
      return;
    }
    const previousIndex = progress.next - 1;
    const previousTerm = this.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.startSnapshot(to, progress, now);
      return;
    }
    const entries = this.log.from(
      progress.next,
      this.options.appendBytes ?? MAX_APPEND_BYTES,
      MAX_APPEND_ENTRIES,
    );
    progress.next += entries.length;
    this.sendEntries(to, previousIndex, previousTerm, entries);
  }

  private sendEntries(
    to: string,
    previousIndex: number,
    previousTerm: number,
    entries: Entry[],
  ): void {
    this.send(to, {
      kind: 'append',
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.commit,
      round: this.round,
    });
  }

  private stepAppendAnswer(
    message: MessageOf<'append-answer'>,
    now: number,
  ): void {
    const progress = this.heard(message.from, message.round, now);
    if (progress === undefined) {
      return;
    }
    if (message.matched) {
      this.matched(message.from, progress, message.index, now);
    } else if (progress.snapshot === undefined) {
      progress.next = Math.max(
        progress.match + 1,
        Math.min(progress.next, message.index + 1),
      );
      this.sendAppend(message.from, progress, now, false);
    }
    this.confirmReads();
  }

  private matched(
    from: string,
    progress: Progress,
    index: number,
    now: number,
  ): void {
    progress.match = Math.max(progress.match, index);
    progress.next = Math.max(progress.next, progress.match + 1);
    if (
      progress.snapshot !== undefined &&
      progress.match >= progress.snapshot.index
    ) {
      progress.snapshot = undefined;
      this.releaseOffer();
    }
    this.advanceCommit(now);
    if (this.role !== 'leader') {
      return;
    }
    if (from !== this.id && progress.next <= this.log.last.index) {
      this.sendAppend(from, progress, now, false);
    }
    this.finishHandOver();
  }

  private advanceCommit(now: number): void {
    const {voters} = this.configuration;
    const matches = voters
      .map(voter => this.progress.get(voter.id)?.match ?? 0)
      .sort((a, b) => b - a);
    const index = matches[majority(voters.length) - 1] ?? 0;
    if (index <= this.commit || !this.mayCommit(index)) {
      return;
    }
    this.commit = index;
    for (const read of this.reads.takeEarly()) {
      this.takeRead(read.from, read.key);
    }
    if (this.configurationCommitted && !this.mayCampaign()) {
      this.becomeFollower(this.term, undefined, now);
      return;
    }
    this.announceAt = Math.min(this.announceAt, now + COMMIT_ANNOUNCE_MS);
  }

  private heard(
    from: string,
    round: number,
    now: number,
  ): Progress | undefined {
    const progress = this.progress.get(from);
    if (this.role !== 'leader' || progress === undefined) {
      return undefined;
    }
    progress.heardAt = now;
    progress.round = Math.max(progress.round, round);
    return progress;
  }

  private finishHandOver(): void {
    const to = this.handOverTo;
    const match = to === undefined ? -1 : this.progress.get(to)?.match;
    const caughtUp = match === this.log.last.index;
    if (to !== undefined && caughtUp && !this.handOverSent) {
      this.handOverSent = true;
      this.send(to, {kind: 'hand-over'});
    }
  }

  // Reads.

  private takeRead(from: string, key: string): void {
    if (this.commit < this.termStart) {
      this.reads.addEarly(from, key);
      return;
    }
    this.reads.add(from, key, this.commit, this.round + 1);
  }

  private confirmReads(): void {
    const {voters} = this.configuration;
    const rounds = voters
      .map(voter =>
        voter.id === this.id
          ? this.round
          : (this.progress.get(voter.id)?.round ?? 0),
      )
      .sort((a, b) => b - a);
    const confirmed = this.readNeedsMajority()
      ? (rounds[majority(voters.length) - 1] ?? 0)
      : this.round;
    for (const read of this.reads.confirm(confirmed)) {
      if (read.from === this.id) {
        this.readResults.push(read);
      } else {
        const {key, index} = read;
        this.send(read.from, {kind: 'read-answer', key, index});
      }
    }
  }

  // Snapshots on their way to a replica.

  private startSnapshot(to: string, progress: Progress, now: number): void {
    const {offer} = this;
    if (offer === undefined || offer.index < this.log.start.index) {
      progress.snapshot = {index: Infinity, received: 0, sentAt: now};
      this.offerWanted = true;
      return;
    }
    progress.snapshot = {index: offer.index, received: 0, sentAt: now};
    this.sendSnapshotPart(to, 0, now, progress);
  }

  private continueSnapshot(
    to: string,
    progress: Progress,
    now: number,
    heartbeat: boolean,
  ): void {
    const transfer = progress.snapshot!;
    if (!heartbeat) {
      return;
    }
    const silentMs = now - transfer.sentAt;
    const known = transfer.index === this.offer?.index;
    if (known && silentMs >= this.options.electionTimeoutMs) {
      this.sendSnapshotPart(to, transfer.received, now, progress);
      return;
    }
    this.sendEntries(to, 0, 0, []);
  }

  private sendSnapshotPart(
    to: string,
    offset: number,
    now: number,
    progress: Progress,
  ): void {
    const length = this.options.snapshotPartLength ?? SNAPSHOT_PART_LENGTH;
    const {data, index, term, configuration} = this.offer!;
    progress.snapshot!.sentAt = now;
    this.send(to, {
      kind: 'snapshot-part',
      index,
      snapshotTerm: term,
      configuration,
      offset,
      total: data.length,
      data: data.slice(offset, offset + length),
      round: this.round,
    });
  }

  private stepSnapshotAnswer(
    message: MessageOf<'snapshot-answer'>,
    now: number,
  ): void {
    const progress = this.heard(message.from, message.round, now);
    const transfer = progress?.snapshot;
    if (progress === undefined || transfer === undefined) {
      return;
    }
    this.confirmReads();
    if (
      this.offer === undefined ||
      transfer.index !== message.index ||
      message.received === transfer.received
    ) {
      return;
    }
    transfer.received = message.received;
    if (message.received < this.offer.data.length) {
      this.sendSnapshotPart(message.from, message.received, now, progress);
    }
  }

  /** Whether a replica that answers is in the middle of a snapshot. */
  private receivesSnapshot(now: number): boolean {
    const {offer} = this;
    return [...this.progress.values()].some(
      progress =>
        offer !== undefined &&
        progress.snapshot?.index === offer.index &&
        now - progress.heardAt < this.options.electionTimeoutMs,
    );
  }

  private releaseOffer(): void {
    const used = [...this.progress.values()].some(
      progress => progress.snapshot !== undefined,
    );
    if (!used) {
      this.offer = undefined;
    }
  }

  // The follower's side of replication.

  private stepCurrent(message: Message, now: number): void {
    switch (message.kind) {
      case 'vote':
        this.stepVote(message, now);
        return;
      case 'vote-answer':
        this.stepVoteAnswer(message, now);
        return;
      case 'append':
        this.followLeader(message.from, now);
        this.stepAppend(message);
        return;
      case 'append-answer':
        this.stepAppendAnswer(message, now);
        return;
      case 'snapshot-part':
        this.followLeader(message.from, now);
        this.stepSnapshotPart(message);
        return;
      case 'snapshot-answer':
        this.stepSnapshotAnswer(message, now);
        return;
      case 'read':
        if (this.role === 'leader') {
          this.takeRead(message.from, message.key);
        }
        return;
      case 'read-answer':
        this.readResults.push({
          from: this.id,
          key: message.key,
          index: message.index,
        });
        return;
      case 'hand-over':
        if (this.role !== 'leader' && this.mayCampaign()) {
          this.campaign('candidate', true, now);
        }
        return;
      case 'pre-vote':
      case 'pre-vote-answer':
    }
  }

  /** Tells the sender of an earlier term about the present one. */
  private answerStale(message: Message): void {
    switch (message.kind) {
      case 'append':
      case 'snapshot-part':
        this.sendHeld(message.from, {
          kind: 'append-answer',
          matched: false,
          index: 0,
          round: 0,
        });
        return;
      case 'vote':
        this.sendHeld(message.from, {kind: 'vote-answer', granted: false});
    }
  }

  private followLeader(leader: string, now: number): void {
    if (this.role !== 'follower' || this.leader !== leader) {
      this.becomeFollower(this.term, leader, now);
    }
    this.leaderHeardAt = now;
    this.resetElection(now);
  }

  private stepAppend(message: MessageOf<'append'>): void {
    const {round, previousIndex} = message;
    if (previousIndex < this.commit) {
      this.stepOverlap(message);
      return;
    }
    if (this.log.termAt(previousIndex) !== message.previousTerm) {
      const index = this.searchFrom(previousIndex);
      this.answerAppend(message.from, false, index, round);
      return;
    }
    this.takeEntries(message.entries);
    const index = previousIndex + message.entries.length;
    this.commit = Math.max(this.commit, Math.min(message.commitIndex, index));
    this.answerAppend(message.from, true, index, round);
  }

  /** Takes the part of a message after what is committed here, which the leader holds too. */
  private stepOverlap(message: MessageOf<'append'>): void {
    const {from, round, entries, commitIndex} = message;
    const fresh = entries.filter(entry => entry.index > this.commit);
    if (fresh.length > 0) {
      this.takeEntries(fresh);
      const index = fresh.at(-1)!.index;
      this.commit = Math.max(this.commit, Math.min(commitIndex, index));
      this.answerAppend(from, true, index, round);
      return;
    }
    this.answerAppend(from, true, this.commit, round);
  }

  private answerAppend(
    to: string,
    matched: boolean,
    index: number,
    round: number,
  ): void {
    this.sendHeld(to, {kind: 'append-answer', matched, index, round});
  }

  /** Where the leader should look for the last equal entry. */
  private searchFrom(previousIndex: number): number {
    const last = this.log.last.index;
    if (previousIndex > last) {
      return last;
    }
    return Math.max(this.commit, this.log.firstOfTerm(previousIndex) - 1);
  }

  private takeEntries(entries: readonly Entry[]): void {
    const at = entries.findIndex(
      entry => this.log.termAt(entry.index) !== entry.term,
    );
    if (at !== -1) {
      this.putEntries(entries.slice(at));
    }
  }

  private stepSnapshotPart(message: MessageOf<'snapshot-part'>): void {
    const {from, index, round} = message;
    if (
      index <= this.commit ||
      this.log.termAt(index) === message.snapshotTerm
    ) {
      this.commit = Math.max(this.commit, index);
      this.answerAppend(from, true, this.commit, round);
      return;
    }
    const snapshot = this.receiver.take(message);
    if (snapshot === undefined) {
      const {received} = this.receiver;
      this.sendHeld(from, {kind: 'snapshot-answer', index, received, round});
      return;
    }
    this.log.reset(snapshot);
    this.persisted = 0;
    this.commit = index;
    this.installed = snapshot;
    this.operations.push({operation: 'install', snapshot});
    this.answerAppend(from, true, index, round);
  }

  // Output.

  private putEntries(entries: readonly Entry[]): void {
    this.persisted = Math.min(this.persisted, entries[0].index - 1);
    this.log.put(entries);
    const previous = this.operations.at(-1);
    if (
      previous?.operation === 'entries' &&
      previous.entries.at(-1)?.index === entries[0].index - 1
    ) {
      (previous.entries as Entry[]).push(...entries);
      return;
    }
    this.operations.push({operation: 'entries', entries: [...entries]});
  }

  private saveState(state: HardState): void {
    this.state = state;
    this.operations.push({operation: 'state', state});
  }

  private send(to: string, body: MessageBody): void {
    this.messages.push(this.envelope(to, body, this.term));
  }

  /** Sends once everything before it is synced. */
  private sendHeld(to: string, body: MessageBody, term = this.term): void {
    this.heldMessages.push(this.envelope(to, body, term));
  }

  private envelope(to: string, body: MessageBody, term: number): Message {
    return {...body, group: this.group, from: this.id, to, term} as Message;
  }
}

function votersChanged(from: Configuration, to: Configuration): number {
  const added = to.voters.filter(voter => !isVoter(from, voter.id)).length;
  const removed = from.voters.filter(voter => !isVoter(to, voter.id)).length;
  return added + removed;
}
