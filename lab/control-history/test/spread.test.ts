import {expect} from 'chai';
import {runSpread, type SpreadOptions} from '@marigoldspur/control-history';

const CHANGES = 3;
const RUN_TIMEOUT_MS = 120_000;

const STORIES: ReadonlyArray<Omit<SpreadOptions, 'changes'>> = [
  {fault: 'cut', role: 'leader', moment: 'before'},
  {fault: 'cut', role: 'leader', moment: 'after'},
  {fault: 'freeze', role: 'leader', moment: 'after'},
  {fault: 'kill', role: 'leader', moment: 'after'},
  {fault: 'cut', role: 'follower', moment: 'before'},
  {fault: 'freeze', role: 'follower', moment: 'before'},
];

for (const story of STORIES) {
  const {fault, role, moment} = story;

  it(`spread: accepted changes are in force everywhere within 4 s, ${fault} of a ${role} ${moment} the first`, async () => {
    const report = await runSpread({...story, changes: CHANGES});
    expect(report.violations).to.deep.equal([]);
    expect(report.spreadMs).to.have.length(CHANGES);
    expect(report.spreadMs.every(Number.isFinite)).to.equal(true);
  }).timeout(RUN_TIMEOUT_MS);
}
