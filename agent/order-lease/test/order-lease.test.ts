import {expect} from 'chai';
import fc from 'fast-check';
import {OrderLease} from '@marigoldspur/order-lease';

const SEED = Number(process.env['FAST_CHECK_SEED'] ?? 11);
const RUNS = Number(process.env['FAST_CHECK_RUNS'] ?? 1_000);
const LEASE_MS = 1_000;
const ORDER_MS = 3_000;
const DELIVERY_MARGIN_MS = 500;

const GRANTED = {grantedAt: 0, silentMs: 0};

type Action = 'send' | 'handle' | 'answer' | 'order' | 'show' | 'take-over';

interface Step {
  readonly agent: number;
  readonly action: Action;
  /** Time that passes before the step, while no process does anything. */
  readonly afterMs: number;
}

interface PendingHeartbeat {
  readonly sentAt: number;
  isConfirmed?: boolean;
}

/**
 * An agent with its lease, its heartbeat in flight, and whether it has taken
 * over the target.
 */
class Agent {
  heartbeat?: PendingHeartbeat;
  hasTakenOver = false;

  constructor(
    readonly number: number,
    readonly lease: OrderLease,
  ) {}
}

/**
 * Simulates a control that confirms only the newest agent, and a target that
 * may check fencing numbers.
 */
class Simulation {
  readonly agents: Agent[] = [];
  private now = 0;
  /** When any agent was last confirmed. */
  private confirmedAt = -Infinity;
  private highestShown = 0;

  constructor(private readonly fenceChecked: boolean) {
    this.grant();
  }

  grant(): void {
    const {fenceChecked, now} = this;
    const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked};
    const silentMs = now - this.confirmedAt;
    const lease = new OrderLease(options, {grantedAt: now, silentMs});
    lease.recordConfirmation(now);
    this.confirmedAt = now;
    this.agents.push(new Agent(this.agents.length + 1, lease));
  }

  apply({agent: index, action, afterMs}: Step): void {
    this.now += afterMs;
    const agent = this.agents[index % this.agents.length];
    switch (action) {
      case 'send':
        agent.heartbeat ??= {sentAt: this.now};
        return;
      case 'handle':
        if (agent.heartbeat !== undefined) {
          agent.heartbeat.isConfirmed ??= this.confirmIfNewest(agent);
        }
        return;
      case 'answer':
        return this.answer(agent);
      case 'show':
        return this.show(agent);
      case 'take-over':
        agent.hasTakenOver ||= agent.lease.canTakeOver(this.now, 0);
        return;
      case 'order':
        return this.order(agent);
    }
  }

  private confirmIfNewest(agent: Agent): boolean {
    const isNewest = agent.number === this.agents.length;
    this.confirmedAt = isNewest ? this.now : this.confirmedAt;
    return isNewest;
  }

  private answer(agent: Agent): void {
    if (agent.heartbeat?.isConfirmed === true) {
      agent.lease.recordConfirmation(agent.heartbeat.sentAt);
    } else if (agent.heartbeat?.isConfirmed === false) {
      agent.lease.revoke();
    }
    if (agent.heartbeat?.isConfirmed !== undefined) {
      agent.heartbeat = undefined;
    }
  }

  private show(agent: Agent): void {
    if (this.fenceChecked && agent.number >= this.highestShown) {
      this.highestShown = agent.number;
      agent.lease.recordFenceShown();
    }
  }

  /**
   * Checks that no order takes effect after a newer agent has taken over the
   * target.
   */
  private order(agent: Agent): void {
    const isAllowed = agent.hasTakenOver && agent.lease.isValid(this.now);
    const isAccepted = isAllowed && agent.number >= this.highestShown;
    const hasNewer = this.agents
      .slice(agent.number)
      .some(each => each.hasTakenOver);
    expect(isAccepted && hasNewer, `order of agent ${agent.number}`).to.equal(
      false,
    );
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
  it(`order lease: only one agent orders while processes freeze and the target ${name} fencing numbers`, () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80, size: 'max'}), steps => {
        const simulation = new Simulation(fenceChecked);
        steps.forEach(each =>
          each === 'grant' ? simulation.grant() : simulation.apply(each),
        );
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
}

it("order lease: expires on the agent's clock, counted from when the call was sent", () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, GRANTED);
  lease.recordConfirmation(100);
  expect(lease.isValid(1_099)).to.equal(true);
  expect(lease.isValid(1_100)).to.equal(false);
});

it('order lease: takeover waits for the order timeout if the target does not report its loads', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, GRANTED);
  const from = LEASE_MS + DELIVERY_MARGIN_MS;
  lease.recordConfirmation(from + ORDER_MS);
  expect(lease.canTakeOver(from + ORDER_MS - 1, undefined)).to.equal(false);
  expect(lease.canTakeOver(from + ORDER_MS, undefined)).to.equal(true);
  expect(lease.canTakeOver(from, 1)).to.equal(false);
  expect(lease.canTakeOver(from, 0)).to.equal(true);
});

it('order lease: a new agent waits only for the remaining lease of the previous one', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: false};
  const lease = new OrderLease(options, {grantedAt: 5_000, silentMs: 400});
  lease.recordConfirmation(5_000);
  const from = 5_000 - 400 + LEASE_MS + DELIVERY_MARGIN_MS;
  lease.recordConfirmation(from);
  expect(lease.canTakeOver(from - 1, 0)).to.equal(false);
  expect(lease.canTakeOver(from, 0)).to.equal(true);
  const first = new OrderLease(options, {grantedAt: 5_000, silentMs: Infinity});
  first.recordConfirmation(5_000);
  expect(first.canTakeOver(5_000, 0)).to.equal(true);
  expect(first.canTakeOver(5_000, 1)).to.equal(false);
});

it('order lease: after a target restart the lease decides, because the fencing number is lost', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: true};
  const lease = new OrderLease(options, GRANTED);
  lease.recordFenceShown();
  expect(lease.isValid(10_000)).to.equal(true);
  lease.recordFenceForgotten();
  expect(lease.isValid(10_000)).to.equal(false);
});

it('order lease: a revoked lease is never confirmed again', () => {
  const options = {leaseMs: LEASE_MS, orderMs: ORDER_MS, fenceChecked: true};
  const lease = new OrderLease(options, GRANTED);
  lease.recordFenceShown();
  lease.revoke();
  lease.recordConfirmation(10);
  lease.recordFenceShown();
  expect(lease.isValid(20)).to.equal(false);
  expect(lease.canTakeOver(20, 0)).to.equal(false);
});
