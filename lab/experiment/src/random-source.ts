import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers from a seed. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** From 0 up to, not including, 1. */
  readonly uniform = (): number => uniformFloat64(this.generator);

  /** A whole number from 0 up to, not including, `limit`. */
  below(limit: number): number {
    return Math.floor(this.uniform() * limit);
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Log-normally distributed with the given median and shape. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    return (
      median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()))
    );
  }
}
