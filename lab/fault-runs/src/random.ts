import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer between `from` and `to`, both included. */
  integer(from: number, to: number): number {
    return uniformInt(this.generator, from, to);
  }

  /** Returns one of the given values. */
  pick<T>(values: readonly T[]): T {
    return values[this.integer(0, values.length - 1)];
  }
}
