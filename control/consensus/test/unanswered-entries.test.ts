import {expect} from 'chai';
import {Consensus, type Message} from '@marigoldspur/consensus';
import {RECOVERED_STATE, seededRandom, VOTERS} from './group-model.js';

const ELECTION_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 200;
const STEP_MS = 5;
const COMMAND_BYTES = 1_000_000;
const COMMANDS = 100;
const MAX_HELD_BYTES = 8_000_000;
/** Three replicas with links that lose nothing; a replica with a full disk completes no write. */
class DiskGroup {
  readonly replicas = new Map<string, Consensus>();
  readonly full = new Set<string>();
  private now = 0;

  constructor() {
    for (const {id} of VOTERS) {
      const options = {
        id,
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: HEARTBEAT_MS,
        random: seededRandom(VOTERS.length),
      };
      // Replica `a` starts the first election.
      const startedAt = id === 'a' ? -ELECTION_TIMEOUT_MS / 2 : 0;
      this.replicas.set(id, new Consensus(options, RECOVERED_STATE, startedAt));
    }
  }

  get leader(): Consensus | undefined {
    return [...this.replicas.values()].find(each => each.isLeaderReady);
  }

  propose(): void {
    this.leader!.propose('x', COMMAND_BYTES, this.now);
  }

  /** Lets some time pass. */
  advance(ms: number): void {
    for (const end = this.now + ms; this.now < end; this.now += STEP_MS) {
      for (const replica of this.replicas.values()) {
        replica.tick(this.now);
        this.deliver(replica.takeMessages(this.now));
        replica.takeCommitted();
        this.write(replica);
      }
    }
  }

  private write(replica: Consensus): void {
    if (this.full.has(replica.id)) {
      return;
    }
    const batch = replica.takeBatch();
    if (batch !== undefined) {
      replica.markSynced(batch);
      this.deliver(batch.messages);
    }
  }

  private deliver(messages: readonly Message[]): void {
    messages.forEach(message =>
      this.replicas.get(message.to)!.step(message, this.now),
    );
  }
}

it('unanswered entries: a replica with a full disk is sent no more than it may hold, and all once it has room', () => {
  const group = new DiskGroup();
  group.advance(3 * ELECTION_TIMEOUT_MS);
  const leader = group.leader!;
  const full = [...group.replicas.values()].find(each => each !== leader)!;
  group.full.add(full.id);
  const before = full.lastIndex;
  for (let count = 0; count < COMMANDS; count += 1) {
    group.propose();
    group.advance(20);
  }
  expect(leader.commitIndex).to.equal(before + COMMANDS);
  const heldBytes = (full.lastIndex - before) * COMMAND_BYTES;
  expect(heldBytes).to.be.within(COMMAND_BYTES, MAX_HELD_BYTES);
  group.full.clear();
  group.advance(ELECTION_TIMEOUT_MS);
  expect(full.lastIndex).to.equal(leader.lastIndex);
  expect(full.commitIndex).to.equal(leader.commitIndex);
});
