import {stretchByPace} from './stated-pace.js';

/** Load and speed of a plain target. Work is in units of the service's mean call. */
export interface PlainLoad {
  /** Work of the requests that the target runs or holds. */
  readonly workInFront: number;
  readonly slots: number;
  /** Expected work of the call itself. */
  readonly ownWork: number;
  /** Time that the target takes relative to the median of its service. */
  readonly factor: number;
  readonly pace: number;
  /** Expected time of the service's mean call, in milliseconds; 0 if not known. */
  readonly meanWorkMs: number;
}

/** Expected time until a plain call is complete, in units of the service's mean call. */
export function plainCost(load: PlainLoad): number {
  const {factor, meanWorkMs, ownWork, pace, slots, workInFront} = load;
  const work = (workInFront / slots + ownWork) * factor;
  return meanWorkMs === 0
    ? work * pace
    : stretchByPace(work * meanWorkMs, pace) / meanWorkMs;
}
