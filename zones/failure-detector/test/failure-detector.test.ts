import {expect} from 'chai';
import fc from 'fast-check';
import {FailureDetector, type Evidence} from '@marigoldspur/failure-detector';

const HALF_LIFE_MS = 1_000;
const PROBE_MS = 100;
const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];
const RUNS = {seed: 4, numRuns: 300};

function createDetector(): FailureDetector {
  return new FailureDetector({
    halfLifeMs: HALF_LIFE_MS,
    probeIntervalMs: PROBE_MS,
    maxProbeIntervalMs: 400,
  });
}

it('failure detector: one failed connection suspects a target, one timeout does not', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'connect-failed', 0);
  detector.recordFailure('b', 'timeout', 0);
  expect(detector.isSuspected('a', 0)).to.equal(true);
  expect(detector.isSuspected('b', 0)).to.equal(false);
  detector.recordFailure('b', 'stall', 100);
  expect(detector.isSuspected('b', 100)).to.equal(true);
});

it('failure detector: two timeouts far apart do not add up', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'timeout', 0);
  detector.recordFailure('a', 'timeout', 3 * HALF_LIFE_MS);
  expect(detector.isSuspected('a', 3 * HALF_LIFE_MS)).to.equal(false);
});

it('failure detector: a success ends the suspicion', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'connect-failed', 0);
  detector.recordSuccess('a');
  expect(detector.isSuspected('a', 1)).to.equal(false);
});

it('failure detector: decay ends the suspicion', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'connect-failed', 0);
  expect(detector.isSuspected('a', HALF_LIFE_MS)).to.equal(true);
  expect(detector.isSuspected('a', 2 * HALF_LIFE_MS + 1)).to.equal(false);
});

it('failure detector: a suspected target is not usable', () => {
  const detector = createDetector();
  detector.recordFailure('b', 'connect-failed', 0);
  expect(detector.assess(TARGETS, 1)).to.deep.equal({
    usable: ['a', 'c', 'd', 'e', 'f'],
    suspected: ['b'],
    isIsolated: false,
  });
});

it('failure detector: nearly all targets suspected means isolation, and all stay usable', () => {
  const detector = createDetector();
  TARGETS.slice(1).forEach(target =>
    detector.recordFailure(target, 'connect-failed', 0),
  );
  const assessment = detector.assess(TARGETS, 1);
  expect(assessment.isIsolated).to.equal(true);
  expect(assessment.usable).to.deep.equal(TARGETS);
});

it('failure detector: probes back off and end with the suspicion', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'connect-failed', 0);
  const probes: number[] = [];
  for (let now = 0; now < 2_000; now += 10) {
    if (detector.takeDueProbes(now).length > 0) {
      probes.push(now);
      detector.recordFailure('a', 'timeout', now);
    }
  }
  expect(probes.slice(0, 4)).to.deep.equal([100, 300, 700, 1_100]);
  detector.recordSuccess('a');
  expect(detector.takeDueProbes(10_000)).to.deep.equal([]);
});

it('failure detector: the scores of removed members are dropped', () => {
  const detector = createDetector();
  detector.recordFailure('a', 'timeout', 0);
  detector.recordFailure('b', 'timeout', 0);
  detector.retainTargets(new Set(['b']));
  expect(detector.size).to.equal(1);
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

it('failure detector: over any history some target stays usable and decay ends all suspicions', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 60, size: 'max'}), steps => {
      const detector = createDetector();
      let now = 0;
      for (const step of steps) {
        now += step.pauseMs;
        if (step.evidence === undefined) {
          detector.recordSuccess(step.target);
          expect(detector.isSuspected(step.target, now)).to.equal(false);
        } else {
          detector.recordFailure(step.target, step.evidence, now);
        }
        const {usable, suspected, isIsolated} = detector.assess(TARGETS, now);
        expect(usable).to.not.be.empty;
        if (!isIsolated) {
          expect(usable.filter(one => suspected.includes(one))).to.be.empty;
        }
      }
      const later = now + 4 * HALF_LIFE_MS;
      expect(detector.assess(TARGETS, later).suspected).to.be.empty;
    }),
    RUNS,
  );
});
