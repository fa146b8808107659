import {expect} from 'chai';
import {runFaults, type FaultKind} from '@marigoldspur/fault-runs';

/** A run takes about 15 s; the rest allows for a busy machine. */
const RUN_TIMEOUT_MS = 240_000;
/** Shorter than the cut, so that every timeout on the request path expires during it. */
const SHORT_TIMEOUTS = {firstByteTimeoutMs: 4_000, isolationBoundMs: 5_000};
const CUT_MS = 8_000;
const RUNS: ReadonlyArray<{seed: number; kinds: FaultKind[]}> = [
  {seed: 11, kinds: ['kill-entry', 'freeze-agent']},
  {seed: 12, kinds: ['kill-target', 'kill-agent']},
  {seed: 13, kinds: ['cut-answers', 'restart-engine']},
  {seed: 15, kinds: ['leave-engine', 'kill-entry']},
  {seed: 14, kinds: ['freeze-target', 'kill-control']},
  {seed: 16, kinds: ['kill-leader', 'kill-agent']},
  {seed: 17, kinds: ['cut-leader', 'freeze-target']},
  {seed: 18, kinds: ['freeze-leader', 'kill-entry']},
];

for (const {seed, kinds} of RUNS) {
  it(`fault run: ${kinds.join(' and ')} cause no violation, seed ${seed}`, async () => {
    const {summary, violations} = await runFaults({
      seed,
      kinds,
      requestsPerSecond: 25,
      seconds: 6,
    });
    expect(violations).to.deep.equal([]);
    expect(summary.answered).to.be.above(summary.calls / 2);
  }).timeout(RUN_TIMEOUT_MS);
}

const CUTS: ReadonlyArray<{seed: number; kinds: FaultKind[]}> = [
  {seed: 21, kinds: ['cut-zone']},
  {seed: 22, kinds: ['cut-zone-inward']},
  {seed: 23, kinds: ['cut-zone-outward']},
];

for (const {seed, kinds} of CUTS) {
  it(`fault run: ${kinds.join(' and ')} for longer than every timeout causes no violation, seed ${seed}`, async () => {
    const {history, summary, violations} = await runFaults({
      seed,
      kinds,
      cutMs: CUT_MS,
      settings: SHORT_TIMEOUTS,
      requestsPerSecond: 25,
      seconds: 14,
    });
    expect(violations).to.deep.equal([]);
    expect(summary.answered).to.be.above(summary.calls / 2);
    const states = history.of('process').map(({state}) => state);
    expect(states).to.include.members(['cut', 'mended']);
  }).timeout(RUN_TIMEOUT_MS);
}
