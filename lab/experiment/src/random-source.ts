import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Generates reproducible random numbers from a seed. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly uniform = (): number => uniformFloat64(this.generator);

  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  integerBelow(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Returns a log-normally distributed number with the given median and shape. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    return (
      median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()))
    );
  }
}
