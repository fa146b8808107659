import {expect} from 'chai';
import {
  runSpread,
  type ReplicaFault,
  type SpreadOptions,
} from '@marigoldspur/control-history';

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

/** Two faults one after the other, which a group of five outlives. */
const PAIRS: ReadonlyArray<readonly [ReplicaFault, ReplicaFault]> = [
  [
    {fault: 'cut', role: 'leader'},
    {fault: 'kill', role: 'leader'},
  ],
  [
    {fault: 'freeze', role: 'leader'},
    {fault: 'cut', role: 'follower'},
  ],
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

for (const [first, second] of PAIRS) {
  const name = `${first.fault} of a ${first.role}, then ${second.fault} of a ${second.role}`;

  it(`spread: of five replicas two fail, ${name}`, async () => {
    const report = await runSpread({
      ...first,
      second,
      moment: 'after',
      changes: CHANGES + 1,
      replicas: 5,
    });
    expect(report.violations).to.deep.equal([]);
    expect(report.spreadMs).to.have.length(CHANGES + 1);
    expect(report.spreadMs.every(Number.isFinite)).to.equal(true);
  }).timeout(RUN_TIMEOUT_MS);
}
