import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random choices. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from `from` to `to`, both included. */
  integer(from: number, to: number): number {
    return uniformInt(this.generator, from, to);
  }

  /** One of the given values. */
  pick<T>(values: readonly T[]): T {
    return values[this.integer(0, values.length - 1)];
  }
}
