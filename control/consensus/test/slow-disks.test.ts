import {expect} from 'chai';
import {
  Consensus,
  type WriteBatch,
  type Message,
} from '@marigoldspur/consensus';
import {RECOVERED_STATE, seededRandom} from './group-model.js';

const ELECTION_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 200;
const LINK_DELAY_MS = 1;
const SEEDS = Array.from({length: 50}, (_, seed) => seed);
const TIME_LIMIT_MS = 30_000;
/** Simulates replicas whose writes take a given time to sync. */
class SlowDiskGroup {
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
      const replica = new Consensus({...options, id}, RECOVERED_STATE, 0);
      this.replicas.set(id, replica);
    }
  }

  /**
   * Runs until a leader has committed an entry of its term; returns the time, or
   * `Infinity` at the limit.
   */
  runUntilReady(): number {
    while (this.now < TIME_LIMIT_MS) {
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
        this.processOutput(replica);
      });
    }
    return Infinity;
  }

  private processOutput(replica: Consensus): void {
    replica.takeMessages(this.now).forEach(message => this.deliver(message));
    replica.takeCommitted();
    const batch = this.writing.has(replica.id)
      ? undefined
      : replica.takeBatch();
    if (batch !== undefined) {
      this.writing.add(replica.id);
      const ms = batch.operations.length > 0 ? this.syncMs : 0;
      this.schedule(ms, () => this.completeWrite(replica, batch));
    }
  }

  private completeWrite(replica: Consensus, batch: WriteBatch): void {
    this.writing.delete(replica.id);
    replica.markSynced(batch);
    batch.messages.forEach(message => this.deliver(message));
    this.processOutput(replica);
  }

  private deliver(message: Message): void {
    const to = this.replicas.get(message.to);
    const ms = message.from === message.to ? 0 : LINK_DELAY_MS;
    this.schedule(ms, () => to?.step(message, this.now));
  }

  private schedule(ms: number, act: () => void): void {
    this.events.push({at: this.now + ms, act});
  }
}

/** The longest time over all seeds until two of three replicas elect a leader. */
function longestElectionMs(syncMs: number): number {
  return Math.max(
    ...SEEDS.map(seed =>
      new SlowDiskGroup(['b', 'c'], seed, syncMs).runUntilReady(),
    ),
  );
}

it('slow disks: an election succeeds when syncs take half the election timeout', () => {
  expect(longestElectionMs(ELECTION_TIMEOUT_MS / 2)).to.be.below(
    TIME_LIMIT_MS / 3,
  );
});

it('fast disks: an election succeeds within two election timeouts', () => {
  expect(longestElectionMs(0)).to.be.below(2 * ELECTION_TIMEOUT_MS);
});
