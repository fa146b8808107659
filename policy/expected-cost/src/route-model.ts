import {RobustMean} from './robust-mean.js';

/** Expected number of events of a stream. */
export interface ExpectedOutput {
  readonly events: number;
  /** Factor by which the number is usually exceeded or missed; 1 if it never varies. */
  readonly spread: number;
}

const ROUTE_HALF_LIFE_MS = 300_000;
const ROUTE_WINDOW = 64;
const ROUTE_MEAN = {
  priorWeight: 0,
  window: ROUTE_WINDOW,
  halfLifeMs: ROUTE_HALF_LIFE_MS,
} as const;

/** What the calls of one route usually need. */
export class RouteModel {
  /** Time of a whole response at the usual idle target, in milliseconds. */
  readonly workMs = new RobustMean(ROUTE_MEAN);
  private readonly events = new RobustMean(ROUTE_MEAN);
  private readonly deviation = new RobustMean(ROUTE_MEAN);

  /** Records the number of events of a stream that ended at time `now`, for which its parts stand. */
  recordEvents(count: number, now: number): void {
    if (this.events.countAt(now) >= 1) {
      const ratio = count / this.events.valueAt(now);
      this.deviation.add(Math.max(ratio, 1 / ratio), now);
    }
    this.events.add(count, now);
  }

  /** Expected output of a call; undefined if no stream of the route has ended lately. */
  expectedOutput(now: number): ExpectedOutput | undefined {
    return this.events.countAt(now) < 1
      ? undefined
      : {
          events: this.events.valueAt(now),
          spread: this.deviation.valueAt(now),
        };
  }
}
