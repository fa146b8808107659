import {expect} from 'chai';
import {CrashWitness, type ConnectOutcome} from '@marigoldspur/direct-routing';

const TARGET = {id: 'i', bornAt: 0, address: '10.0.0.1:80'} as never;

/** Probes a target whose connections end like this, the last outcome for all others. */
async function probe(outcomes: ConnectOutcome[]) {
  let connects = 0;
  let endCount = 0;
  const witness = new CrashWitness({
    connect: async () =>
      outcomes[Math.min(connects++, outcomes.length - 1)] ?? 'silent',
    onEnded: () => (endCount += 1),
  });
  witness.probe(TARGET);
  witness.probe(TARGET);
  await new Promise(resolve => setTimeout(resolve, 500));
  return {connects, endCount, hasEnded: witness.hasEnded(TARGET)};
}

it('crash witness: a target whose address refuses connections has ended', async () => {
  expect(await probe(['refused'])).to.deep.equal({
    connects: 3,
    endCount: 1,
    hasEnded: true,
  });
});

it('crash witness: a target that refuses one connection and accepts another goes on', async () => {
  const {endCount, hasEnded} = await probe(['refused', 'accepted']);
  expect({endCount, hasEnded}).to.deep.equal({endCount: 0, hasEnded: false});
});

it('crash witness: silence does not show that a target has ended', async () => {
  expect(await probe(['silent'])).to.include({hasEnded: false});
});

it('crash witness: another target at the address shows it at once', () => {
  let endCount = 0;
  const witness = new CrashWitness({
    connect: async () => 'accepted',
    onEnded: () => (endCount += 1),
  });
  witness.recordSuccessor(TARGET);
  witness.recordSuccessor(TARGET);
  expect(witness.hasEnded(TARGET)).to.equal(true);
  expect(endCount).to.equal(1);
  witness.recordResponse(TARGET);
  expect(witness.hasEnded(TARGET)).to.equal(false);
});
