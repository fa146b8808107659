import {RobustMean} from './robust-mean.js';
import {StatedPace} from './stated-pace.js';

const RELATIVE_TIME = {
  prior: 1,
  priorWeight: 0,
  window: 32,
  halfLifeMs: 120_000,
} as const;

/** Observed times of one kind of work, relative to those expected of the usual target. */
export class RelativeTime {
  readonly observed = new RobustMean(RELATIVE_TIME);
  /** Time that the work takes relative to the median of the service; 1 if not known. */
  factor = 1;
  /** The same without the allowance for few observations and noise. */
  observedFactor = 1;
}

/**
 * What is known about the speed of one incarnation of a target. A new incarnation starts with
 * a new model, and so at the median of its service.
 */
export class TargetModel {
  readonly pace = new StatedPace();
  /** Time to process prompts. */
  readonly prefill = new RelativeTime();
  /** Pauses between events. */
  readonly decode = new RelativeTime();
  /** Time of the whole responses of plain calls. */
  readonly response = new RelativeTime();
}
