import {expect} from 'chai';
import fc from 'fast-check';
import {
  fuzzBoundaries,
  type Boundary,
  type FuzzedSystem,
} from '@marigoldspur/boundary-fuzz';

/** A system that breaks when it gets a number above a limit and any text, in this order. */
class FragileSystem implements FuzzedSystem {
  restoreCount = 0;
  private hasNumber = false;
  private isBroken = false;
  readonly boundaries: readonly Boundary[];

  constructor(private readonly limit: number) {
    const numbers: Boundary<number> = {
      ...{name: 'numbers', weight: 1, contents: fc.nat()},
      play: async number => {
        this.hasNumber ||= number > this.limit;
        return [];
      },
    };
    const texts: Boundary<string> = {
      ...{name: 'texts', weight: 1, contents: fc.string()},
      play: async () => {
        this.isBroken ||= this.hasNumber;
        return [];
      },
    };
    this.boundaries = [numbers as Boundary, texts as Boundary];
  }

  async findFaults(): Promise<readonly string[]> {
    this.hasNumber = false;
    return this.isBroken ? ['broken'] : [];
  }

  async restore(): Promise<void> {
    this.restoreCount += 1;
    this.isBroken = false;
  }
}

it('fuzz boundaries: a series that breaks the system is made as small as it can be', async () => {
  const system = new FragileSystem(1_000);
  const {failure} = await fuzzBoundaries(system, {seed: 1, runs: 100});
  expect(failure?.faults).to.deep.equal(['broken']);
  expect(failure?.messages).to.deep.equal([
    {boundary: 'numbers', content: 1_001},
    {boundary: 'texts', content: ''},
  ]);
  expect(system.restoreCount).to.be.above(1);
});

it('fuzz boundaries: a failure is replayed by its seed and path alone', async () => {
  const found = await fuzzBoundaries(new FragileSystem(1_000), {
    ...{seed: 2, runs: 100},
  });
  const path = found.failure?.path ?? expect.fail();
  const replayed = await fuzzBoundaries(new FragileSystem(1_000), {
    ...{seed: 2, runs: 1, path},
  });
  expect(replayed.failure?.messages).to.deep.equal(found.failure?.messages);
  expect([...replayed.counts.values()]).to.deep.equal([1, 1]);
});

it('fuzz boundaries: a sound system gets messages of all boundaries', async () => {
  const system = new FragileSystem(Infinity);
  const {counts, failure} = await fuzzBoundaries(system, {seed: 1, runs: 20});
  expect(failure).to.equal(undefined);
  expect([...counts.keys()].sort()).to.deep.equal(['numbers', 'texts']);
  expect(system.restoreCount).to.equal(0);
});

it('fuzz boundaries: a series is made smaller for a limited time', async () => {
  const system = new FragileSystem(1_000);
  const report = await fuzzBoundaries(system, {
    ...{seed: 1, runs: 100, shrinkMs: 0},
  });
  expect(report.failure?.faults).to.deep.equal(['broken']);
  expect(system.restoreCount).to.equal(1);
});
