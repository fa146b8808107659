import {expect} from 'chai';
import {runFaults, type FaultKind} from '@marigoldspur/fault-runs';

/** A run takes some 15 s; a busy machine gets the rest. */
const RUN_TIMEOUT_MS = 240_000;
const RUNS: ReadonlyArray<{seed: number; kinds: FaultKind[]}> = [
  {seed: 11, kinds: ['kill-entry', 'freeze-agent']},
  {seed: 12, kinds: ['kill-target', 'kill-agent']},
  {seed: 13, kinds: ['cut-answers', 'restart-engine']},
  {seed: 14, kinds: ['freeze-target', 'kill-control']},
];

for (const {seed, kinds} of RUNS) {
  it(`fault run: ${kinds.join(' and ')} break no promise, seed ${seed}`, async () => {
    const {summary, violations} = await runFaults({
      seed,
      kinds,
      requestsPerSecond: 25,
      seconds: 5,
    });
    expect(violations).to.deep.equal([]);
    expect(summary.answered).to.be.above(summary.calls / 2);
  }).timeout(RUN_TIMEOUT_MS);
}
