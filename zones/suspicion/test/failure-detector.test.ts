import {expect} from 'chai';
import fc from 'fast-check';
import {FailureDetector, type Evidence} from '@marigoldspur/suspicion';

const HALF_LIFE_MS = 1_000;
const PROBE_MS = 100;
const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];
const RUNS = {seed: 4, numRuns: 300};

function table(): FailureDetector {
  return new FailureDetector({
    halfLifeMs: HALF_LIFE_MS,
    probeIntervalMs: PROBE_MS,
    maxProbeIntervalMs: 400,
  });
}

it('suspicion: one failed connect suspects, one silence does not', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'connect-failed', 0);
  suspicion.recordFailure('b', 'timeout', 0);
  expect(suspicion.isSuspected('a', 0)).to.equal(true);
  expect(suspicion.isSuspected('b', 0)).to.equal(false);
  suspicion.recordFailure('b', 'stall', 100);
  expect(suspicion.isSuspected('b', 100)).to.equal(true);
});

it('suspicion: two silences far apart do not add up', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'timeout', 0);
  suspicion.recordFailure('a', 'timeout', 3 * HALF_LIFE_MS);
  expect(suspicion.isSuspected('a', 3 * HALF_LIFE_MS)).to.equal(false);
});

it('suspicion: a success ends it', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'connect-failed', 0);
  suspicion.recordSuccess('a');
  expect(suspicion.isSuspected('a', 1)).to.equal(false);
});

it('suspicion: decay ends it without any call', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'connect-failed', 0);
  expect(suspicion.isSuspected('a', HALF_LIFE_MS)).to.equal(true);
  expect(suspicion.isSuspected('a', 2 * HALF_LIFE_MS + 1)).to.equal(false);
});

it('suspicion: a suspected target is not usable', () => {
  const suspicion = table();
  suspicion.recordFailure('b', 'connect-failed', 0);
  expect(suspicion.assess(TARGETS, 1)).to.deep.equal({
    usable: ['a', 'c', 'd', 'e', 'f'],
    suspected: ['b'],
    isolated: false,
  });
});

it('suspicion: suspecting nearly all is isolation and routing goes on', () => {
  const suspicion = table();
  TARGETS.slice(1).forEach(target =>
    suspicion.recordFailure(target, 'connect-failed', 0),
  );
  const judgement = suspicion.assess(TARGETS, 1);
  expect(judgement.isolated).to.equal(true);
  expect(judgement.usable).to.deep.equal(TARGETS);
});

it('suspicion: probes back off and end with suspicion', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'connect-failed', 0);
  const probes: number[] = [];
  for (let now = 0; now < 2_000; now += 10) {
    if (suspicion.probesDue(now).length > 0) {
      probes.push(now);
      suspicion.recordFailure('a', 'timeout', now);
    }
  }
  expect(probes.slice(0, 4)).to.deep.equal([100, 300, 700, 1_100]);
  suspicion.recordSuccess('a');
  expect(suspicion.probesDue(10_000)).to.deep.equal([]);
});

it('suspicion: rows of members that left are dropped', () => {
  const suspicion = table();
  suspicion.recordFailure('a', 'timeout', 0);
  suspicion.recordFailure('b', 'timeout', 0);
  suspicion.retainTargets(new Set(['b']));
  expect(suspicion.size).to.equal(1);
});

const EVIDENCE = fc.constantFrom<Evidence>(
  'connect-failed',
  'timeout',
  'stall',
  'broken',
);
const STEP = fc.record({
  target: fc.constantFrom(...TARGETS),
  evidence: fc.option(EVIDENCE, {nil: undefined}),
  pauseMs: fc.integer({min: 0, max: 500}),
});

it('suspicion: over any history some target stays usable and a quiet time clears all', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 60, size: 'max'}), steps => {
      const suspicion = table();
      let now = 0;
      for (const step of steps) {
        now += step.pauseMs;
        if (step.evidence === undefined) {
          suspicion.recordSuccess(step.target);
          expect(suspicion.isSuspected(step.target, now)).to.equal(false);
        } else {
          suspicion.recordFailure(step.target, step.evidence, now);
        }
        const {usable, suspected, isolated} = suspicion.assess(TARGETS, now);
        expect(usable).to.not.be.empty;
        if (!isolated) {
          expect(usable.filter(one => suspected.includes(one))).to.be.empty;
        }
      }
      const later = now + 4 * HALF_LIFE_MS;
      expect(suspicion.assess(TARGETS, later).suspected).to.be.empty;
    }),
    RUNS,
  );
});
