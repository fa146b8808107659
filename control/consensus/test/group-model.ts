import {
  Consensus,
  EMPTY_CONFIGURATION,
  nextConfiguration,
  repairedReplicas,
  SafetyRules,
  type WriteBatch,
  type Configuration,
  type Entry,
  type HardState,
  type LogOperation,
  type Message,
  type LogPosition,
  type RecoveredState,
  type Snapshot,
} from '@marigoldspur/consensus';

/** A safety mechanism that a run disables, to check that the tests detect its absence. */
export type Flaw =
  | 'votes are sent before they are synced'
  | 'acknowledgements are sent before the entries are synced'
  | 'no pre-vote'
  | 'entries of earlier terms are committed by counting replicas'
  | 'an empty data folder votes under the old ID'
  | 'a lagging replica may win an election'
  | 'leaders do not check their quorum'
  | 'two voters change at once'
  | 'a replica votes twice in a term'
  | 'reads are not confirmed by a majority'
  | 'a replacement becomes a voter before it is caught up'
  | 'a repair completes before its replacement is caught up';

export const VOTERS = ['a', 'b', 'c'].map(id => ({id, url: `http://${id}`}));
/** State of replicas that have followed a leader `a`. */
export const RECOVERED_STATE: RecoveredState = {
  state: {group: 'group', term: 1, vote: 'a'},
  entries: [
    {
      index: 1,
      term: 1,
      bytes: 0,
      content: {
        kind: 'configuration',
        configuration: {voters: VOTERS, learners: []},
      },
    },
  ],
};

const GROUP = 'group';
const ELECTION_TIMEOUT_MS = 100;
const HEARTBEAT_MS = 20;
const MAX_SNAPSHOT_PART_LENGTH = 7;
const SNAPSHOT_INTERVAL_ENTRIES = 6;
const KEPT_ENTRIES = 2;
const ROUND_MS = 7;
const ELECTION_ATTEMPTS = 4;
const ELECTION_EXCHANGES = 8;
const ELECTION_WAIT_MS = 3 * ELECTION_TIMEOUT_MS;
const COMMAND_BYTES = 10;
/** Small enough that each append message carries a single command. */
const MAX_APPEND_BYTES = 1;

/** Returns a seeded pseudorandom number generator (mulberry32). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

class FlawedRules extends SafetyRules {
  constructor(private readonly flaw: Flaw | undefined) {
    super();
  }

  override usesPreVote(): boolean {
    return this.flaw !== 'no pre-vote';
  }

  override checksQuorum(): boolean {
    return this.flaw !== 'leaders do not check their quorum';
  }

  override mayCommit(entryTerm: number | undefined, term: number): boolean {
    return (
      this.flaw ===
        'entries of earlier terms are committed by counting replicas' ||
      super.mayCommit(entryTerm, term)
    );
  }

  override mayVote(last: LogPosition): boolean {
    return (
      this.flaw === 'an empty data folder votes under the old ID' ||
      super.mayVote(last)
    );
  }

  override isUpToDate(candidate: LogPosition, own: LogPosition): boolean {
    return (
      this.flaw === 'a lagging replica may win an election' ||
      super.isUpToDate(candidate, own)
    );
  }

  override hasVotedForOther(vote: string, candidate: string): boolean {
    return (
      this.flaw !== 'a replica votes twice in a term' &&
      super.hasVotedForOther(vote, candidate)
    );
  }

  override isSafeVoterChange(from: Configuration, to: Configuration): boolean {
    return (
      this.flaw === 'two voters change at once' ||
      super.isSafeVoterChange(from, to)
    );
  }

  override readNeedsMajority(): boolean {
    return this.flaw !== 'reads are not confirmed by a majority';
  }
}

/** The durable state of a host. */
class Disk {
  state: HardState = {group: '', term: 0, vote: ''};
  snapshot: Snapshot | undefined;
  entries: Entry[] = [];

  write(operations: readonly LogOperation[]): void {
    for (const operation of operations) {
      switch (operation.operation) {
        case 'state':
          this.state = operation.state;
          break;
        case 'entries': {
          const first = operation.entries[0].index;
          this.entries = this.entries.filter(entry => entry.index < first);
          this.entries.push(...operation.entries);
          break;
        }
        case 'install':
          this.snapshot = operation.snapshot;
          this.entries = [];
      }
    }
  }

  /** Whether the disk holds an entry, either in the log or covered by a snapshot. */
  holds(index: number, term: number | undefined): boolean {
    return (
      (this.snapshot?.index ?? 0) >= index ||
      this.entries.some(entry => entry.index === index && entry.term === term)
    );
  }

  saveSnapshot(snapshot: Snapshot): void {
    this.snapshot = snapshot;
    this.entries = this.entries.filter(entry => entry.index > snapshot.index);
  }

  recover(): RecoveredState {
    return {
      state: this.state,
      snapshot: this.snapshot,
      entries: [...this.entries],
    };
  }
}

/** A host with its disk; `replica` is undefined while the host is down. */
class Host {
  disk = new Disk();
  replica: Consensus | undefined;
  /** Applied entries in order, as text; this is also the content of snapshots. */
  applied: string[] = [];
  pendingWrite: WriteBatch | undefined;
  /** The configuration at the last applied index. */
  configuration = EMPTY_CONFIGURATION;
  reads = new Map<string, number>();
  snapshotIndex = 0;
  /**
   * Whether the process is paused: it makes no progress and does not notice the pause.
   */
  isFrozen = false;

  constructor(
    readonly url: string,
    public id: string,
  ) {}
}

interface Envelope {
  readonly message: Message;
  readonly url: string;
}

/** Thrown when a run violates a safety property. */
export class InvariantViolation extends Error {}

/**
 * Simulates a group of replicas; the caller controls the network, the disks and the
 * clock.
 */
export class GroupModel {
  now = 0;
  readonly hosts: Host[];
  /** Number of elections that were won. */
  electionCount = 0;
  private network: Envelope[] = [];
  private readonly cutLinks = new Set<string>();
  private readonly leaders = new Map<number, string>();
  /** Everything that any host has applied, by index. */
  private readonly appliedByIndex = new Map<number, string>();
  private readonly initialVoters: ReadonlySet<string>;
  private nextReplicaNumber: number;
  private proposedCount = 0;
  private readCount = 0;
  private highestAppliedIndex = 0;
  /** IDs of replicas whose repair was reported as complete. */
  private readonly reportedRepairs = new Set<string>();

  constructor(
    size: number,
    private readonly random: () => number,
    private readonly flaw?: Flaw,
    /** Number of hosts that are voters initially. */
    voterCount = size,
  ) {
    this.nextReplicaNumber = size;
    this.hosts = Array.from(
      {length: size},
      (_, index) => new Host(`url-${index}`, `replica-${index}`),
    );
    const voters = this.hosts
      .slice(0, voterCount)
      .map(({id, url}) => ({id, url}));
    this.initialVoters = new Set(voters.map(({id}) => id));
    const entry: Entry = {
      index: 1,
      term: 1,
      bytes: 0,
      content: {kind: 'configuration', configuration: {voters, learners: []}},
    };
    for (const host of this.hosts) {
      if (voters.some(({id}) => id === host.id)) {
        host.disk.state = {group: GROUP, term: 1, vote: ''};
        host.disk.entries = [entry];
      }
      this.start(host);
    }
  }

  /** Number of messages in flight. */
  get inFlight(): number {
    return this.network.length;
  }

  /** Number of commands that any host has applied. */
  get committedCommandCount(): number {
    return [...this.appliedByIndex.values()].filter(text => /^c\d/.test(text))
      .length;
  }

  /** The configuration in effect on the leader, if there is one. */
  get configuration(): Configuration | undefined {
    return this.leader()?.replica?.configuration;
  }

  /** Replacement voters whose repair was never reported as complete. */
  get unreportedRepairs(): string[] {
    const voters = this.configuration?.voters ?? [];
    return voters
      .map(({id}) => id)
      .filter(
        id => !this.initialVoters.has(id) && !this.reportedRepairs.has(id),
      );
  }

  leader(): Host | undefined {
    return this.hosts
      .filter(host => host.replica?.role === 'leader')
      .sort((a, b) => b.replica!.term - a.replica!.term)
      .at(0);
  }

  advanceTime(ms: number): void {
    this.now += ms;
    for (const host of this.hosts.filter(other => !other.isFrozen)) {
      host.replica?.tick(this.now);
      this.processOutput(host);
    }
  }

  /** Runs some hosts without faults for a number of rounds of `ROUND_MS` each. */
  runRounds(hosts: readonly Host[], rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.advanceTime(ROUND_MS);
      this.exchange(hosts);
    }
  }

  /**
   * Completes the hosts' writes and delivers their messages without advancing the
   * clock.
   */
  exchange(hosts: readonly Host[], rounds = 1): void {
    for (let round = 0; round < rounds; round += 1) {
      hosts.forEach(host => this.completeWrite(host));
      const urls = hosts.map(host => host.url);
      const due = this.network.filter(({url}) => urls.includes(url));
      due.forEach(envelope => this.deliver(this.network.indexOf(envelope)));
    }
  }

  /** Freezes all running hosts except the given ones. */
  freezeAllExcept(hosts: readonly Host[]): void {
    for (const host of this.hosts) {
      host.isFrozen = host.replica !== undefined && !hosts.includes(host);
    }
  }

  /**
   * Makes a host win an election with the votes of `voters`; all other hosts stay
   * frozen.
   */
  elect(host: Host, voters: readonly Host[]): void {
    for (let round = 0; round < ELECTION_ATTEMPTS; round += 1) {
      this.freezeAllExcept([host]);
      for (let waited = 0; waited < ELECTION_WAIT_MS; waited += ROUND_MS) {
        this.advanceTime(ROUND_MS);
      }
      this.freezeAllExcept([host, ...voters]);
      for (let each = 0; each < ELECTION_EXCHANGES; each += 1) {
        if (host.replica?.role === 'leader') {
          return;
        }
        this.exchange([host, ...voters]);
      }
    }
    throw new Error(`${host.id} was not elected`);
  }

  /** Drops the messages in flight that match. */
  dropMessages(matches: (message: Message) => boolean): void {
    this.network = this.network.filter(({message}) => !matches(message));
  }

  /**
   * Takes random small steps: messages are lost, duplicated, reordered and delayed, and
   * writes are synced late.
   */
  runRandomSteps(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      const at = Math.floor(this.random() * 1_000);
      const host = this.hosts[at % this.hosts.length];
      const kind = this.random();
      if (kind < 0.1) {
        this.advanceTime(at % 25);
      } else if (kind < 0.35) {
        this.completeWrite(host);
      } else if (kind < 0.85) {
        this.deliver(at);
      } else if (kind < 0.92) {
        this.deliver(at, true);
      } else {
        this.dropMessage(at);
      }
    }
  }

  /**
   * Delivers the message in flight that `at` selects; `keep` leaves it in flight, as a
   * duplicate.
   */
  deliver(at: number, keep = false): void {
    if (this.network.length === 0) {
      return;
    }
    const index = at % this.network.length;
    const {message, url} = this.network[index];
    const host = this.hosts.find(candidate => candidate.url === url);
    if (host?.isFrozen) {
      return;
    }
    if (!keep) {
      this.network.splice(index, 1);
    }
    if (host?.replica !== undefined) {
      host.replica.step(message, this.now);
      this.processOutput(host);
    }
  }

  dropMessage(at: number): void {
    if (this.network.length > 0) {
      this.network.splice(at % this.network.length, 1);
    }
  }

  /** Completes the pending write of a host's disk. */
  completeWrite(host: Host): void {
    const batch = host.pendingWrite;
    if (batch === undefined || host.replica === undefined || host.isFrozen) {
      return;
    }
    host.pendingWrite = undefined;
    host.disk.write(batch.operations);
    host.replica.markSynced(batch);
    this.sendMessages(host, batch.messages);
    this.processOutput(host);
  }

  propose(host: Host): void {
    this.proposedCount += 1;
    if (host.isFrozen) {
      return;
    }
    host.replica?.propose(`c${this.proposedCount}`, COMMAND_BYTES, this.now);
    this.processOutput(host);
  }

  /**
   * Starts a linearizable read, which must see everything that any host applied before
   * it.
   */
  read(host: Host): void {
    if (host.replica !== undefined && !host.isFrozen) {
      this.readCount += 1;
      const key = `r${this.readCount}`;
      host.reads.set(key, this.highestAppliedIndex);
      host.replica.read(key);
      this.processOutput(host);
    }
  }

  transferLeadership(host: Host): void {
    if (!host.isFrozen) {
      host.replica?.transferLeadership(this.now);
      this.processOutput(host);
    }
  }

  /** Stops a replica; writes that are not synced are lost. */
  crash(host: Host): void {
    host.replica = undefined;
    host.isFrozen = false;
    host.pendingWrite = undefined;
    host.reads.clear();
  }

  restart(host: Host): void {
    if (host.replica === undefined) {
      this.start(host);
    }
  }

  /** Replaces a host's disk with an empty one and restarts the host. */
  replaceDisk(host: Host): void {
    this.crash(host);
    host.disk = new Disk();
    if (this.flaw === 'an empty data folder votes under the old ID') {
      host.disk.state = {group: GROUP, term: 0, vote: ''};
    } else {
      host.id = `replica-${this.nextReplicaNumber}`;
      this.nextReplicaNumber += 1;
    }
    this.start(host);
  }

  /** Cuts or restores the one-way link from one host to another. */
  setLinkCut(from: Host, to: Host, isCut: boolean): void {
    const link = `${from.url} ${to.url}`;
    if (isCut) {
      this.cutLinks.add(link);
    } else {
      this.cutLinks.delete(link);
    }
  }

  restoreAllLinks(): void {
    this.cutLinks.clear();
  }

  /** Makes the leader take the next repair step, if there is one. */
  takeRepairStep(): void {
    const host = this.leader();
    const replica = host?.replica;
    if (
      host === undefined ||
      host.isFrozen ||
      replica === undefined ||
      !replica.isLeaderReady
    ) {
      return;
    }
    const next = nextConfiguration({
      group: GROUP,
      configuration: replica.configuration,
      discoveredReplicas: this.hosts
        .filter(other => other.replica !== undefined && other !== host)
        .map(({id, url, disk}) => ({id, url, group: disk.state.group})),
      isCaughtUp: id => this.isCaughtUp(replica, id),
    });
    const before = replica.configuration;
    if (
      next !== undefined &&
      replica.changeConfiguration(this.applyFlaw(replica, next), this.now)
    ) {
      this.checkRepair(replica, before);
      this.processOutput(host);
    }
  }

  /**
   * Checks that a replacement becomes a voter, and is reported as repaired, only once all
   * committed entries are on its disk.
   */
  private checkRepair(replica: Consensus, before: Configuration): void {
    const after = replica.configuration;
    const added = after.voters.filter(
      ({id}) => !before.voters.some(voter => voter.id === id),
    );
    const {commitIndex} = replica;
    const term = replica.termAt(commitIndex);
    for (const {id} of [...added, ...repairedReplicas(before, after)]) {
      const disk = this.hosts.find(host => host.id === id)?.disk;
      if (disk !== undefined && !disk.holds(commitIndex, term)) {
        throw new InvariantViolation(
          `${id} counts as repaired without the committed entry ${commitIndex}`,
        );
      }
    }
  }

  /**
   * Whether the current replica of each host is a confirmed voter that holds all
   * committed entries.
   */
  get isFullyRepaired(): boolean {
    const replica = this.leader()?.replica;
    return (
      replica !== undefined &&
      replica.isConfigurationCommitted &&
      (replica.configuration.unconfirmed ?? []).length === 0 &&
      this.hosts.every(
        host =>
          replica.configuration.voters.some(({id}) => id === host.id) &&
          (replica.progressOf(host.id)?.matchIndex ?? 0) >= replica.commitIndex,
      )
    );
  }

  /** Runs all hosts without faults until `done` returns true; false if it never does. */
  runUntil(done: () => boolean): boolean {
    for (let round = 0; round < 2_000; round += 1) {
      if (done()) {
        return true;
      }
      this.advanceTime(5);
      this.hosts.forEach(host => this.completeWrite(host));
      for (let count = this.network.length; count > 0; count -= 1) {
        this.deliver(0);
      }
      this.takeRepairStep();
    }
    return false;
  }

  private isCaughtUp(replica: Consensus, id: string): boolean {
    const {learners, unconfirmed = []} = replica.configuration;
    const isIn = (replicas: ReadonlyArray<{id: string}>) =>
      replicas.some(other => other.id === id);
    if (
      (this.flaw === 'a replacement becomes a voter before it is caught up' &&
        isIn(learners)) ||
      (this.flaw === 'a repair completes before its replacement is caught up' &&
        isIn(unconfirmed))
    ) {
      return true;
    }
    const progress = replica.progressOf(id);
    return progress !== undefined && progress.matchIndex >= replica.commitIndex;
  }

  private applyFlaw(replica: Consensus, next: Configuration): Configuration {
    if (this.flaw !== 'two voters change at once') {
      return next;
    }
    const {voters, learners} = replica.configuration;
    return learners.length > 1
      ? {voters: [...voters, ...learners], learners: []}
      : next;
  }

  private start(host: Host): void {
    const {snapshot} = host.disk;
    host.applied = snapshot === undefined ? [] : JSON.parse(snapshot.data);
    host.snapshotIndex = snapshot?.index ?? 0;
    host.configuration = snapshot?.configuration ?? EMPTY_CONFIGURATION;
    host.replica = new Consensus(
      {
        id: host.id,
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: HEARTBEAT_MS,
        random: this.random,
        maxAppendBytes: MAX_APPEND_BYTES,
        maxSnapshotPartLength: MAX_SNAPSHOT_PART_LENGTH,
      },
      host.disk.recover(),
      this.now,
      new FlawedRules(this.flaw),
    );
    this.processOutput(host);
  }

  /**
   * Takes the messages, writes and committed entries of a replica and checks the safety
   * properties.
   */
  private processOutput(host: Host): void {
    const {replica} = host;
    if (replica === undefined) {
      return;
    }
    if (replica.needsSnapshot) {
      const data = JSON.stringify(host.applied);
      replica.provideSnapshot({...replica.snapshotMetadata(), data}, this.now);
    }
    this.sendMessages(host, replica.takeMessages(this.now));
    this.startWrite(host);
    this.apply(host);
    this.checkReads(host);
    this.checkElection(host);
    this.compact(host);
  }

  private startWrite(host: Host): void {
    const replica = host.replica!;
    if (host.pendingWrite !== undefined) {
      return;
    }
    host.pendingWrite = replica.takeBatch();
    if (host.pendingWrite === undefined) {
      return;
    }
    const early = this.messagesSentEarly(host.pendingWrite.messages);
    const heldBack = host.pendingWrite.messages.filter(
      message => !early.includes(message),
    );
    host.pendingWrite = {...host.pendingWrite, messages: heldBack};
    this.sendMessages(host, early);
  }

  /** The messages that the flaw sends before their write is synced. */
  private messagesSentEarly(messages: readonly Message[]): Message[] {
    const kinds: Message['kind'][] =
      this.flaw === 'votes are sent before they are synced'
        ? ['vote', 'vote-answer']
        : this.flaw ===
            'acknowledgements are sent before the entries are synced'
          ? ['append-answer']
          : [];
    return messages.filter(message => kinds.includes(message.kind));
  }

  private sendMessages(host: Host, messages: readonly Message[]): void {
    for (const message of messages) {
      if (message.to === host.id) {
        host.replica?.step(message, this.now);
        continue;
      }
      const url = this.urlOf(host, message.to);
      if (url !== undefined && !this.cutLinks.has(`${host.url} ${url}`)) {
        this.network.push({message, url});
      }
    }
  }

  private urlOf(host: Host, id: string): string | undefined {
    const {voters, learners} = host.replica!.configuration;
    const known = [...voters, ...learners].find(other => other.id === id);
    return known?.url ?? this.hosts.find(other => other.id === id)?.url;
  }

  private apply(host: Host): void {
    const {snapshot, entries} = host.replica!.takeCommitted();
    if (snapshot !== undefined) {
      host.applied = JSON.parse(snapshot.data);
      host.snapshotIndex = snapshot.index;
      host.configuration = snapshot.configuration;
    }
    for (const entry of entries) {
      const {content} = entry;
      if (content.kind === 'configuration') {
        this.recordRepairs(host, content.configuration);
      }
      const text =
        content.kind === 'command' ? String(content.command) : content.kind;
      const first = this.appliedByIndex.get(entry.index);
      if (first !== undefined && first !== `${text} ${entry.term}`) {
        throw new InvariantViolation(
          `${host.id} applied ${text} of term ${entry.term} at ${entry.index}, where ${first} was applied`,
        );
      }
      this.appliedByIndex.set(entry.index, `${text} ${entry.term}`);
      host.applied.push(text);
    }
    this.highestAppliedIndex = Math.max(
      this.highestAppliedIndex,
      host.replica!.appliedIndex,
    );
  }

  private recordRepairs(host: Host, next: Configuration): void {
    for (const {id} of repairedReplicas(host.configuration, next)) {
      this.reportedRepairs.add(id);
    }
    host.configuration = next;
  }

  private checkReads(host: Host): void {
    const {confirmed, failed} = host.replica!.takeReadResults();
    for (const {key, index} of confirmed) {
      const requiredIndex = host.reads.get(key);
      host.reads.delete(key);
      if (requiredIndex !== undefined && index < requiredIndex) {
        throw new InvariantViolation(
          `a linearizable read at ${host.id} saw ${index}, after ${requiredIndex} was applied`,
        );
      }
    }
    failed.forEach(key => host.reads.delete(key));
  }

  private checkElection(host: Host): void {
    const replica = host.replica!;
    if (replica.role !== 'leader') {
      return;
    }
    const first = this.leaders.get(replica.term);
    if (first === undefined) {
      this.leaders.set(replica.term, host.id);
      this.electionCount += 1;
      this.checkCompleteness(host);
    } else if (first !== host.id) {
      throw new InvariantViolation(
        `${first} and ${host.id} both lead term ${replica.term}`,
      );
    }
  }

  /**
   * Checks that a new leader holds every entry that any host applied in earlier terms.
   */
  private checkCompleteness(host: Host): void {
    const replica = host.replica!;
    for (const [index, text] of this.appliedByIndex) {
      const term = Number(text.split(' ')[1]);
      if (
        index > replica.compactedTo.index &&
        replica.termAt(index) !== term &&
        term < replica.term
      ) {
        throw new InvariantViolation(
          `${host.id} leads term ${replica.term} without the committed entry ${index}`,
        );
      }
    }
  }

  private compact(host: Host): void {
    const replica = host.replica!;
    if (replica.appliedIndex - host.snapshotIndex < SNAPSHOT_INTERVAL_ENTRIES) {
      return;
    }
    const metadata = replica.snapshotMetadata();
    const data = JSON.stringify(host.applied);
    host.disk.saveSnapshot({...metadata, data});
    host.snapshotIndex = metadata.index;
    replica.compact(metadata.index - KEPT_ENTRIES, this.now);
  }
}
