import {expect} from 'chai';
import {
  measurePropagation,
  type ReplicaFault,
  type PropagationOptions,
} from '@marigoldspur/linearizability-check';

const CHANGES = 3;
const RUN_TIMEOUT_MS = 120_000;

const SINGLE_FAULTS: ReadonlyArray<Omit<PropagationOptions, 'changes'>> = [
  {fault: 'cut', role: 'leader', moment: 'before'},
  {fault: 'cut', role: 'leader', moment: 'after'},
  {fault: 'freeze', role: 'leader', moment: 'after'},
  {fault: 'kill', role: 'leader', moment: 'after'},
  {fault: 'cut', role: 'follower', moment: 'before'},
  {fault: 'freeze', role: 'follower', moment: 'before'},
];

/** Two successive faults, which a group of five replicas tolerates. */
const DOUBLE_FAULTS: ReadonlyArray<readonly [ReplicaFault, ReplicaFault]> = [
  [
    {fault: 'cut', role: 'leader'},
    {fault: 'kill', role: 'leader'},
  ],
  [
    {fault: 'freeze', role: 'leader'},
    {fault: 'cut', role: 'follower'},
  ],
];

for (const scenario of SINGLE_FAULTS) {
  const {fault, role, moment} = scenario;

  it(`propagation: accepted changes are in force everywhere within 4 s, ${fault} of a ${role} ${moment} the first change`, async () => {
    const report = await measurePropagation({...scenario, changes: CHANGES});
    expect(report.violations).to.deep.equal([]);
    expect(report.spreadMs).to.have.length(CHANGES);
    expect(report.spreadMs.every(Number.isFinite)).to.equal(true);
  }).timeout(RUN_TIMEOUT_MS);
}

for (const [first, second] of DOUBLE_FAULTS) {
  const name = `${first.fault} of a ${first.role}, then ${second.fault} of a ${second.role}`;

  it(`propagation: accepted changes are in force everywhere when two of five replicas fail, ${name}`, async () => {
    const report = await measurePropagation({
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
