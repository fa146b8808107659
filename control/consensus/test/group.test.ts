import {expect} from 'chai';
import fc from 'fast-check';
import {
  GroupModel,
  seededRandom,
  InvariantViolation,
  type Flaw,
} from './group-model.js';

const RUNS = Number(process.env.MODEL_RUNS ?? 1_000);
const FLAWED_RUNS = 3_000;
/** Fixed for reproducible runs; `MODEL_SEED` overrides it. */
const SEED = Number(process.env.MODEL_SEED ?? 20261203);

const STEPS = 120;

/** One step of a run: the kind of event and the hosts that it affects. */
interface Step {
  readonly kind: keyof typeof STEP_WEIGHTS;
  readonly host: number;
  readonly other: number;
  readonly at: number;
}

/** Relative frequency of each kind of step. */
const STEP_WEIGHTS = {
  run: 16,
  runTwo: 10,
  randomSteps: 16,
  propose: 14,
  read: 8,
  crash: 5,
  restart: 7,
  powerLoss: 2,
  cut: 3,
  isolate: 4,
  restoreLink: 3,
  restoreAllLinks: 6,
  freeze: 4,
  unfreeze: 6,
  transferLeadership: 2,
  repair: 8,
  replaceDisk: 3,
} as const;

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.oneof(
    ...Object.entries(STEP_WEIGHTS).map(([kind, weight]) => ({
      weight,
      arbitrary: fc.constant(kind as Step['kind']),
    })),
  ),
  host: fc.nat(4),
  other: fc.nat(4),
  at: fc.nat(1_000),
});

interface Run {
  readonly size: number;
  readonly seed: number;
  readonly steps: readonly Step[];
}

const run: fc.Arbitrary<Run> = fc.record({
  size: fc.constantFrom(3, 3, 5),
  seed: fc.nat(),
  steps: fc.array(step, {
    minLength: STEPS,
    maxLength: STEPS,
    size: 'max',
  }),
});

function applyStep(model: GroupModel, {kind, host, other, at}: Step): void {
  const {hosts} = model;
  const one = hosts[host % hosts.length];
  const two = hosts[other % hosts.length];
  switch (kind) {
    case 'run':
      return model.runRounds(hosts, 1 + (at % 12));
    case 'runTwo':
      return model.runRounds([one, two], 1 + (at % 40));
    case 'randomSteps':
      return model.runRandomSteps(1 + (at % 40));
    case 'propose':
      return model.propose(at % 4 === 0 ? one : (model.leader() ?? one));
    case 'read':
      return model.read(one);
    case 'crash':
      return model.crash(one);
    case 'restart':
      return model.restart(one);
    case 'powerLoss':
      hosts.forEach(each => model.crash(each));
      hosts.forEach(each => model.restart(each));
      return;
    case 'cut':
      return model.setLinkCut(one, two, true);
    case 'isolate':
      for (const each of hosts) {
        model.setLinkCut(one, each, true);
        model.setLinkCut(each, one, true);
      }
      return;
    case 'restoreLink':
      return model.setLinkCut(one, two, false);
    case 'restoreAllLinks':
      return model.restoreAllLinks();
    case 'freeze':
      one.isFrozen = one.replica !== undefined;
      return;
    case 'unfreeze':
      one.isFrozen = false;
      return;
    case 'transferLeadership':
      return model.transferLeadership(one);
    case 'repair':
      return model.takeRepairStep();
    case 'replaceDisk':
      // The guarantee covers one lost disk at a time: the next may be lost after the repair.
      return model.isFullyRepaired ? model.replaceDisk(one) : undefined;
  }
}

function simulate({size, seed, steps}: Run, flaw?: Flaw): GroupModel {
  const model = new GroupModel(size, seededRandom(seed), flaw);
  for (const next of steps) {
    applyStep(model, next);
  }
  return model;
}

/**
 * Ends all faults; true if the group becomes fully repaired and applies a new command.
 */
function recover(model: GroupModel): boolean {
  model.restoreAllLinks();
  for (const host of model.hosts) {
    host.isFrozen = false;
    model.restart(host);
  }
  const before = model.committedCommandCount;
  return model.runUntil(() => {
    const leader = model.leader();
    const isApplied = model.committedCommandCount > before;
    if (leader !== undefined && !isApplied) {
      model.propose(leader);
    }
    return model.isFullyRepaired && isApplied;
  });
}

/** The message of the first violation in the runs with a mechanism disabled, if any. */
function findViolation(flaw: Flaw, seed: number): string | undefined {
  const details = fc.check(
    fc.property(run, faults => {
      simulate(faults, flaw);
    }),
    {seed, numRuns: FLAWED_RUNS, endOnFailure: true},
  );
  const {errorInstance} = details;
  if (
    errorInstance !== null &&
    !(errorInstance instanceof InvariantViolation)
  ) {
    throw errorInstance;
  }
  return errorInstance?.message;
}

it('group: loses no committed entry and recovers under random faults', () => {
  let commands = 0;
  fc.assert(
    fc.property(run, faults => {
      const model = simulate(faults);
      expect(recover(model), 'recovers once the faults end').to.equal(true);
      expect(model.unreportedRepairs, 'repairs not reported').to.deep.equal([]);
      commands += model.committedCommandCount;
    }),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
  expect(commands).to.be.greaterThan(RUNS);
});

const FLAWS: readonly Flaw[] = [
  'votes are sent before they are synced',
  'acknowledgements are sent before the entries are synced',
  'a lagging replica may win an election',
  'a replica votes twice in a term',
  'a replacement becomes a voter before it is caught up',
];

for (const flaw of FLAWS) {
  it(`group: detects that ${flaw}`, () => {
    expect(findViolation(flaw, SEED)).to.be.a('string');
  });
}
