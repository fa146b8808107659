import {expect} from 'chai';
import fc from 'fast-check';
import {OrderLease} from '@marigoldspur/order-lease';

const SEED = Number(process.env['FAST_CHECK_SEED'] ?? 11);
const RUNS = Number(process.env['FAST_CHECK_RUNS'] ?? 1_000);
const LEASE_MS = 1_000;
const ORDER_MS = 3_000;
const ARRIVAL_MS = 500;

const GRANTED = {at: 0, silentMs: 0};

type Action = 'send' | 'handle' | 'answer' | 'order' | 'show' | 'take-over';

interface Step {
  readonly agent: number;
  readonly action: Action;
  /** Time that passes before, as in a freeze of all else. */
  readonly afterMs: number;
}

interface Beat {
  readonly sentAt: number;
  confirmed?: boolean;
}

/** An agent: its lease, the heartbeat on its way, and whether it took the target over. */
class Agent {
  beat?: Beat;
  serves = false;

  constructor(
    readonly number: number,
    readonly lease: OrderLease,
  ) {}
}

/** A control that confirms only the newest agent, and a target that may know numbers. */
class World {
  readonly agents: Agent[] = [];
  private now = 0;
  /** When an agent was last confirmed. */
  private confirmedAt = -Infinity;
  private highestShown = 0;

  constructor(private readonly fenceChecked: boolean) {
    this.grant();
  }

  grant(): void {
    const {fenceChecked, now} = this;
    const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked};
    const silentMs = now - this.confirmedAt;
    const lease = new OrderLease(options, {at: now, silentMs});
    lease.recordConfirmation(now);
    this.confirmedAt = now;
    this.agents.push(new Agent(this.agents.length + 1, lease));
  }

  take({agent: index, action, afterMs}: Step): void {
    this.now += afterMs;
    const agent = this.agents[index % this.agents.length];
    switch (action) {
      case 'send':
        agent.beat ??= {sentAt: this.now};
        return;
      case 'handle':
        if (agent.beat !== undefined) {
          agent.beat.confirmed ??= this.confirms(agent);
        }
        return;
      case 'answer':
        return this.answer(agent);
      case 'show':
        return this.show(agent);
      case 'take-over':
        agent.serves ||= agent.lease.canTakeOver(this.now, 0);
        return;
      case 'order':
        return this.order(agent);
    }
  }

  private confirms(agent: Agent): boolean {
    const isNewest = agent.number === this.agents.length;
    this.confirmedAt = isNewest ? this.now : this.confirmedAt;
    return isNewest;
  }

  private answer(agent: Agent): void {
    if (agent.beat?.confirmed === true) {
      agent.lease.recordConfirmation(agent.beat.sentAt);
    } else if (agent.beat?.confirmed === false) {
      agent.lease.revoke();
    }
    if (agent.beat?.confirmed !== undefined) {
      agent.beat = undefined;
    }
  }

  private show(agent: Agent): void {
    if (this.fenceChecked && agent.number >= this.highestShown) {
      this.highestShown = agent.number;
      agent.lease.recordFenceShown();
    }
  }

  /** No order may take effect while a newer agent serves the target. */
  private order(agent: Agent): void {
    const given = agent.serves && agent.lease.isValid(this.now);
    const taken = given && agent.number >= this.highestShown;
    const newer = this.agents.slice(agent.number).some(each => each.serves);
    expect(taken && newer, `order of agent ${agent.number}`).to.equal(false);
  }
}

const step: fc.Arbitrary<Step | 'grant'> = fc.oneof(
  {weight: 1, arbitrary: fc.constant('grant' as const)},
  {
    weight: 20,
    arbitrary: fc.record({
      agent: fc.nat(3),
      action: fc.constantFrom<Action>(
        'send',
        'handle',
        'answer',
        'order',
        'show',
        'take-over',
      ),
      afterMs: fc.oneof(fc.nat(100), fc.nat(3_000)),
    }),
  },
);

for (const fenceChecked of [true, false]) {
  const name = fenceChecked ? 'checks' : 'ignores';
  it(`order lease: one agent orders, target ${name} numbers, clocks freeze`, () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80, size: 'max'}), steps => {
        const world = new World(fenceChecked);
        steps.forEach(each =>
          each === 'grant' ? world.grant() : world.take(each),
        );
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
}

it('order lease: ends on its own clock, counted from when the call was sent', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, GRANTED);
  lease.recordConfirmation(100);
  expect(lease.isValid(1_099)).to.equal(true);
  expect(lease.isValid(1_100)).to.equal(false);
});

it('order lease: a target that does not tell its loads is waited for', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, GRANTED);
  const from = LEASE_MS + ARRIVAL_MS;
  lease.recordConfirmation(from + ORDER_MS);
  expect(lease.canTakeOver(from + ORDER_MS - 1, undefined)).to.equal(false);
  expect(lease.canTakeOver(from + ORDER_MS, undefined)).to.equal(true);
  expect(lease.canTakeOver(from, 1)).to.equal(false);
  expect(lease.canTakeOver(from, 0)).to.equal(true);
});

it('order lease: a new agent waits only for what is left of the lease of the one before', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, {at: 5_000, silentMs: 400});
  lease.recordConfirmation(5_000);
  const from = 5_000 - 400 + LEASE_MS + ARRIVAL_MS;
  lease.recordConfirmation(from);
  expect(lease.canTakeOver(from - 1, 0)).to.equal(false);
  expect(lease.canTakeOver(from, 0)).to.equal(true);
  const first = new OrderLease(options, {at: 5_000, silentMs: Infinity});
  first.recordConfirmation(5_000);
  expect(first.canTakeOver(5_000, 0)).to.equal(true);
  expect(first.canTakeOver(5_000, 1)).to.equal(false);
});

it('order lease: a restarted target knows no number, so the lease decides', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: true};
  const lease = new OrderLease(options, GRANTED);
  lease.recordFenceShown();
  expect(lease.isValid(10_000)).to.equal(true);
  lease.recordFenceForgotten();
  expect(lease.isValid(10_000)).to.equal(false);
});

it('order lease: once revoked it is never confirmed again', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: true};
  const lease = new OrderLease(options, GRANTED);
  lease.recordFenceShown();
  lease.revoke();
  lease.recordConfirmation(10);
  lease.recordFenceShown();
  expect(lease.isValid(20)).to.equal(false);
  expect(lease.canTakeOver(20, 0)).to.equal(false);
});
