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

/** A mechanism that a run is made without, to show that its absence is caught. */
export type Flaw =
  | 'votes are sent before they are synced'
  | 'acknowledgements are sent before the entries are synced'
  | 'no pre-vote'
  | 'entries of old terms commit by count'
  | 'an empty folder votes under the old identity'
  | 'a lagging replica may win an election'
  | 'no quorum check'
  | 'two voters change at once'
  | 'a replica votes twice in a term'
  | 'reads skip the majority'
  | 'a replacement counts before it is caught up'
  | 'a repair is done before its replacement is caught up';

const GROUP = 'group';
const ELECTION_TIMEOUT_MS = 100;
const HEARTBEAT_MS = 20;
const SNAPSHOT_PART_LENGTH = 7;
const COMPACT_EVERY = 6;
const KEPT_ENTRIES = 2;
const ROUND_MS = 7;
const ELECTION_ROUNDS = 4;
const ELECTION_EXCHANGES = 8;
const ELECTION_WAIT_MS = 3 * ELECTION_TIMEOUT_MS;
const COMMAND_BYTES = 10;
/** One command a message. */
const APPEND_BYTES = 1;

/** A small generator of numbers from a seed (mulberry32). */
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
    return this.flaw !== 'no quorum check';
  }

  override mayCommit(entryTerm: number | undefined, term: number): boolean {
    return (
      this.flaw === 'entries of old terms commit by count' ||
      super.mayCommit(entryTerm, term)
    );
  }

  override mayVote(last: LogPosition): boolean {
    return (
      this.flaw === 'an empty folder votes under the old identity' ||
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
    return this.flaw !== 'reads skip the majority';
  }
}

/** What a disk keeps over a crash. */
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

  /** Whether it holds an entry, alone or in a snapshot. */
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

/** A host with its disk; the replica on it is gone while it is down. */
class Host {
  disk = new Disk();
  replica: Consensus | undefined;
  /** Commands applied, in order; what a snapshot holds. */
  applied: string[] = [];
  pendingWrite: WriteBatch | undefined;
  /** The configuration at the last applied index. */
  configuration = EMPTY_CONFIGURATION;
  reads = new Map<string, number>();
  snapshotIndex = 0;
  /** A frozen process does nothing until it thaws, and does not notice. */
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

/** A property that a run broke. */
export class InvariantViolation extends Error {}

/** A group of replicas whose network, disks and clock the caller drives. */
export class GroupModel {
  now = 0;
  readonly hosts: Host[];
  /** Elections that replicas won. */
  electionCount = 0;
  private network: Envelope[] = [];
  private readonly cuts = new Set<string>();
  private readonly leaders = new Map<number, string>();
  /** Everything that was ever applied, by index. */
  private readonly committed = new Map<number, string>();
  private readonly firstVoters: ReadonlySet<string>;
  private identities: number;
  private commands = 0;
  private readCount = 0;
  private highestCommit = 0;
  /** Identities that were called repaired. */
  private readonly repaired = new Set<string>();

  constructor(
    size: number,
    private readonly random: () => number,
    private readonly flaw?: Flaw,
    /** Hosts that are voters from the start. */
    voterCount = size,
  ) {
    this.identities = size;
    this.hosts = Array.from(
      {length: size},
      (_, index) => new Host(`url-${index}`, `replica-${index}`),
    );
    const voters = this.hosts
      .slice(0, voterCount)
      .map(({id, url}) => ({id, url}));
    this.firstVoters = new Set(voters.map(({id}) => id));
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

  /** Messages on their way. */
  get inFlight(): number {
    return this.network.length;
  }

  /** Commands that were applied somewhere. */
  get committedCommandCount(): number {
    return [...this.committed.values()].filter(text => /^c\d/.test(text))
      .length;
  }

  /** The configuration in effect at the leader, where there is one. */
  get configuration(): Configuration | undefined {
    return this.leader()?.replica?.configuration;
  }

  /** Replacements that count and were never called repaired. */
  get unreportedRepairs(): string[] {
    const voters = this.configuration?.voters ?? [];
    return voters
      .map(({id}) => id)
      .filter(id => !this.firstVoters.has(id) && !this.repaired.has(id));
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
      this.collect(host);
    }
  }

  /** Lets some hosts work without faults for rounds of a few milliseconds. */
  runRounds(hosts: readonly Host[], rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      this.advanceTime(ROUND_MS);
      this.exchange(hosts);
    }
  }

  /** Syncs what hosts write and delivers what is on its way to them, while no time passes. */
  exchange(hosts: readonly Host[], rounds = 1): void {
    for (let round = 0; round < rounds; round += 1) {
      hosts.forEach(host => this.completeWrite(host));
      const urls = hosts.map(host => host.url);
      const due = this.network.filter(({url}) => urls.includes(url));
      due.forEach(envelope => this.deliver(this.network.indexOf(envelope)));
    }
  }

  /** Lets only some hosts work. */
  freezeAllExcept(hosts: readonly Host[]): void {
    for (const host of this.hosts) {
      host.isFrozen = host.replica !== undefined && !hosts.includes(host);
    }
  }

  /** Holds an election that a host wins with the votes of others; the rest stays frozen. */
  elect(host: Host, voters: readonly Host[]): void {
    for (let round = 0; round < ELECTION_ROUNDS; round += 1) {
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

  /** Loses the messages that match. */
  dropMessages(matches: (message: Message) => boolean): void {
    this.network = this.network.filter(({message}) => !matches(message));
  }

  /** Takes small steps in any order: messages lost, repeated, reordered and delayed, writes synced late. */
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

  /** Delivers a message on its way, out of order as `at` says. */
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
      this.collect(host);
    }
  }

  dropMessage(at: number): void {
    if (this.network.length > 0) {
      this.network.splice(at % this.network.length, 1);
    }
  }

  /** Finishes the write that a host's disk has in work. */
  completeWrite(host: Host): void {
    const batch = host.pendingWrite;
    if (batch === undefined || host.replica === undefined || host.isFrozen) {
      return;
    }
    host.pendingWrite = undefined;
    host.disk.write(batch.operations);
    host.replica.markSynced(batch);
    this.release(host, batch.messages);
    this.collect(host);
  }

  propose(host: Host): void {
    this.commands += 1;
    if (host.isFrozen) {
      return;
    }
    host.replica?.propose(`c${this.commands}`, COMMAND_BYTES, this.now);
    this.collect(host);
  }

  /** Starts a fresh read; it must see everything applied anywhere before it. */
  read(host: Host): void {
    if (host.replica !== undefined && !host.isFrozen) {
      this.readCount += 1;
      const key = `r${this.readCount}`;
      host.reads.set(key, this.highestCommit);
      host.replica.read(key);
      this.collect(host);
    }
  }

  transferLeadership(host: Host): void {
    if (!host.isFrozen) {
      host.replica?.transferLeadership(this.now);
      this.collect(host);
    }
  }

  /** Ends a replica; what its disk had not synced is lost. */
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

  /** Replaces a host's disk by an empty one. */
  replaceDisk(host: Host): void {
    this.crash(host);
    host.disk = new Disk();
    if (this.flaw === 'an empty folder votes under the old identity') {
      host.disk.state = {group: GROUP, term: 0, vote: ''};
    } else {
      host.id = `replica-${this.identities}`;
      this.identities += 1;
    }
    this.start(host);
  }

  /** Cuts or mends the way from one host to another. */
  setLinkCut(from: Host, to: Host, isCut: boolean): void {
    const way = `${from.url} ${to.url}`;
    if (isCut) {
      this.cuts.add(way);
    } else {
      this.cuts.delete(way);
    }
  }

  restoreAllLinks(): void {
    this.cuts.clear();
  }

  /** Lets the leader take the next step of a repair. */
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
      replica.changeConfiguration(this.withFlaw(replica, next), this.now)
    ) {
      this.checkRepair(replica, before);
      this.collect(host);
    }
  }

  /** A replacement counts, and is called repaired, only with all that is committed on its disk. */
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

  /** Whether every host's current identity is a voter that holds all that is committed. */
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

  /** Lets everything run without faults until `done`; false where it never is. */
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
      (this.flaw === 'a replacement counts before it is caught up' &&
        isIn(learners)) ||
      (this.flaw === 'a repair is done before its replacement is caught up' &&
        isIn(unconfirmed))
    ) {
      return true;
    }
    const progress = replica.progressOf(id);
    return progress !== undefined && progress.matchIndex >= replica.commitIndex;
  }

  private withFlaw(replica: Consensus, next: Configuration): Configuration {
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
        maxAppendBytes: APPEND_BYTES,
        maxSnapshotPartLength: SNAPSHOT_PART_LENGTH,
      },
      host.disk.recover(),
      this.now,
      new FlawedRules(this.flaw),
    );
    this.collect(host);
  }

  /** Takes what a replica wants to be sent, synced and applied. */
  private collect(host: Host): void {
    const {replica} = host;
    if (replica === undefined) {
      return;
    }
    if (replica.needsSnapshot) {
      const data = JSON.stringify(host.applied);
      replica.provideSnapshot({...replica.snapshotMetadata(), data}, this.now);
    }
    this.release(host, replica.takeMessages(this.now));
    this.beginWrite(host);
    this.apply(host);
    this.checkReads(host);
    this.checkElection(host);
    this.compact(host);
  }

  private beginWrite(host: Host): void {
    const replica = host.replica!;
    if (host.pendingWrite !== undefined) {
      return;
    }
    host.pendingWrite = replica.takeBatch();
    if (host.pendingWrite === undefined) {
      return;
    }
    const early = this.sentEarly(host.pendingWrite.messages);
    const held = host.pendingWrite.messages.filter(
      message => !early.includes(message),
    );
    host.pendingWrite = {...host.pendingWrite, messages: held};
    this.release(host, early);
  }

  private sentEarly(messages: readonly Message[]): Message[] {
    const kinds: Message['kind'][] =
      this.flaw === 'votes are sent before they are synced'
        ? ['vote', 'vote-answer']
        : this.flaw ===
            'acknowledgements are sent before the entries are synced'
          ? ['append-answer']
          : [];
    return messages.filter(message => kinds.includes(message.kind));
  }

  private release(host: Host, messages: readonly Message[]): void {
    for (const message of messages) {
      if (message.to === host.id) {
        host.replica?.step(message, this.now);
        continue;
      }
      const url = this.urlOf(host, message.to);
      if (url !== undefined && !this.cuts.has(`${host.url} ${url}`)) {
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
        this.noteRepairs(host, content.configuration);
      }
      const text =
        content.kind === 'command' ? String(content.command) : content.kind;
      const first = this.committed.get(entry.index);
      if (first !== undefined && first !== `${text} ${entry.term}`) {
        throw new InvariantViolation(
          `${host.id} applied ${text} of term ${entry.term} at ${entry.index}, where ${first} was applied`,
        );
      }
      this.committed.set(entry.index, `${text} ${entry.term}`);
      host.applied.push(text);
    }
    this.highestCommit = Math.max(
      this.highestCommit,
      host.replica!.appliedIndex,
    );
  }

  private noteRepairs(host: Host, next: Configuration): void {
    for (const {id} of repairedReplicas(host.configuration, next)) {
      this.repaired.add(id);
    }
    host.configuration = next;
  }

  private checkReads(host: Host): void {
    const {confirmed, failed} = host.replica!.takeReadResults();
    for (const {key, index} of confirmed) {
      const wanted = host.reads.get(key);
      host.reads.delete(key);
      if (wanted !== undefined && index < wanted) {
        throw new InvariantViolation(
          `a fresh read at ${host.id} saw ${index}, after ${wanted} was applied`,
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

  /** A new leader holds everything that was applied anywhere before. */
  private checkCompleteness(host: Host): void {
    const replica = host.replica!;
    for (const [index, text] of this.committed) {
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
    if (replica.appliedIndex - host.snapshotIndex < COMPACT_EVERY) {
      return;
    }
    const place = replica.snapshotMetadata();
    const data = JSON.stringify(host.applied);
    host.disk.saveSnapshot({...place, data});
    host.snapshotIndex = place.index;
    replica.compact(place.index - KEPT_ENTRIES, this.now);
  }
}
