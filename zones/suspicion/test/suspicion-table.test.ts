import {expect} from 'chai';
import fc from 'fast-check';
import {SuspicionTable, type Evidence} from '@marigoldspur/suspicion';

const HALF_LIFE_MS = 1_000;
const PROBE_MS = 100;
const TARGETS = ['a', 'b', 'c', 'd', 'e', 'f'];
const RUNS = {seed: 4, numRuns: 300};

function table(): SuspicionTable {
  return new SuspicionTable({
    halfLifeMs: HALF_LIFE_MS,
    probeIntervalMs: PROBE_MS,
    maxProbeIntervalMs: 400,
  });
}

it('suspicion: one failed connect suspects, one silence does not', () => {
  const suspicion = table();
  suspicion.failed('a', 'connect-failed', 0);
  suspicion.failed('b', 'timeout', 0);
  expect(suspicion.suspects('a', 0)).to.equal(true);
  expect(suspicion.suspects('b', 0)).to.equal(false);
  suspicion.failed('b', 'stall', 100);
  expect(suspicion.suspects('b', 100)).to.equal(true);
});

it('suspicion: two silences far apart do not add up', () => {
  const suspicion = table();
  suspicion.failed('a', 'timeout', 0);
  suspicion.failed('a', 'timeout', 3 * HALF_LIFE_MS);
  expect(suspicion.suspects('a', 3 * HALF_LIFE_MS)).to.equal(false);
});

it('suspicion: a success ends it', () => {
  const suspicion = table();
  suspicion.failed('a', 'connect-failed', 0);
  suspicion.succeeded('a');
  expect(suspicion.suspects('a', 1)).to.equal(false);
});

it('suspicion: decay ends it without any call', () => {
  const suspicion = table();
  suspicion.failed('a', 'connect-failed', 0);
  expect(suspicion.suspects('a', HALF_LIFE_MS)).to.equal(true);
  expect(suspicion.suspects('a', 2 * HALF_LIFE_MS + 1)).to.equal(false);
});

it('suspicion: a suspected target is not usable', () => {
  const suspicion = table();
  suspicion.failed('b', 'connect-failed', 0);
  expect(suspicion.judge(TARGETS, 1)).to.deep.equal({
    usable: ['a', 'c', 'd', 'e', 'f'],
    suspected: ['b'],
    isolated: false,
  });
});

it('suspicion: suspecting nearly all is isolation and routing goes on', () => {
  const suspicion = table();
  TARGETS.slice(1).forEach(target =>
    suspicion.failed(target, 'connect-failed', 0),
  );
  const judgement = suspicion.judge(TARGETS, 1);
  expect(judgement.isolated).to.equal(true);
  expect(judgement.usable).to.deep.equal(TARGETS);
});

it('suspicion: probes back off and end with suspicion', () => {
  const suspicion = table();
  suspicion.failed('a', 'connect-failed', 0);
  const probes: number[] = [];
  for (let now = 0; now < 2_000; now += 10) {
    if (suspicion.probesDue(now).length > 0) {
      probes.push(now);
      suspicion.failed('a', 'timeout', now);
    }
  }
  expect(probes.slice(0, 4)).to.deep.equal([100, 300, 700, 1_100]);
  suspicion.succeeded('a');
  expect(suspicion.probesDue(10_000)).to.deep.equal([]);
});

it('suspicion: rows of members that left are dropped', () => {
  const suspicion = table();
  suspicion.failed('a', 'timeout', 0);
  suspicion.failed('b', 'timeout', 0);
  suspicion.retain(new Set(['b']));
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
          suspicion.succeeded(step.target);
          expect(suspicion.suspects(step.target, now)).to.equal(false);
        } else {
          suspicion.failed(step.target, step.evidence, now);
        }
        const {usable, suspected, isolated} = suspicion.judge(TARGETS, now);
        expect(usable).to.not.be.empty;
        if (!isolated) {
          expect(usable.filter(one => suspected.includes(one))).to.be.empty;
        }
      }
      const later = now + 4 * HALF_LIFE_MS;
      expect(suspicion.judge(TARGETS, later).suspected).to.be.empty;
    }),
    RUNS,
  );
});
