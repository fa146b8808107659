import {expect} from 'chai';
import {
  Consensus,
  type WriteBatch,
  type Message,
  type RecoveredState,
} from '@marigoldspur/consensus';
import {seededRandom} from './group-model.js';

const ELECTION_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 200;
const LINK_MS = 1;
const SEEDS = Array.from({length: 50}, (_, seed) => seed);
const LIMIT_MS = 30_000;
const VOTERS = ['a', 'b', 'c'].map(id => ({id, url: `http://${id}`}));
const FOLLOWED_BEFORE: RecoveredState = {
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

/** Replicas in simulated time, whose writes take a given time to sync. */
class SlowGroup {
  private now = 0;
  private readonly replicas = new Map<string, Consensus>();
  private readonly writing = new Set<string>();
  private events: Array<{at: number; act: () => void}> = [];

  constructor(
    ids: readonly string[],
    seed: number,
    private readonly syncMs: number,
  ) {
    const random = seededRandom(seed);
    const options = {
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      heartbeatMs: HEARTBEAT_MS,
      random,
    };
    for (const id of ids) {
      const replica = new Consensus({...options, id}, FOLLOWED_BEFORE, 0);
      this.replicas.set(id, replica);
    }
  }

  /** Runs until a leader has committed in its term; the time that took, or infinity. */
  runUntilReady(): number {
    while (this.now < LIMIT_MS) {
      const replicas = [...this.replicas.values()];
      if (replicas.some(replica => replica.isLeaderReady)) {
        return this.now;
      }
      const due = replicas.map(replica => replica.dueAt);
      const at = this.events.map(event => event.at);
      this.now = Math.max(this.now, Math.min(...due, ...at));
      const ready = this.events.filter(event => event.at <= this.now);
      this.events = this.events.filter(event => event.at > this.now);
      ready.forEach(event => event.act());
      replicas.forEach(replica => {
        replica.tick(this.now);
        this.pump(replica);
      });
    }
    return Infinity;
  }

  private pump(replica: Consensus): void {
    replica.takeMessages(this.now).forEach(message => this.carry(message));
    replica.takeCommitted();
    const batch = this.writing.has(replica.id)
      ? undefined
      : replica.takeBatch();
    if (batch !== undefined) {
      this.writing.add(replica.id);
      const ms = batch.operations.length > 0 ? this.syncMs : 0;
      this.after(ms, () => this.synced(replica, batch));
    }
  }

  private synced(replica: Consensus, batch: WriteBatch): void {
    this.writing.delete(replica.id);
    replica.markSynced(batch);
    batch.messages.forEach(message => this.carry(message));
    this.pump(replica);
  }

  private carry(message: Message): void {
    const to = this.replicas.get(message.to);
    const ms = message.from === message.to ? 0 : LINK_MS;
    this.after(ms, () => to?.step(message, this.now));
  }

  private after(ms: number, act: () => void): void {
    this.events.push({at: this.now + ms, act});
  }
}

/** The longest time, over all seeds, until two of three replicas lead themselves. */
function longestMs(syncMs: number): number {
  return Math.max(
    ...SEEDS.map(seed =>
      new SlowGroup(['b', 'c'], seed, syncMs).runUntilReady(),
    ),
  );
}

it('slow disks: an election ends although syncs take half its timeout', () => {
  expect(longestMs(ELECTION_TIMEOUT_MS / 2)).to.be.below(LIMIT_MS / 3);
});

it('slow disks: quick ones elect within two election timeouts', () => {
  expect(longestMs(0)).to.be.below(2 * ELECTION_TIMEOUT_MS);
});
