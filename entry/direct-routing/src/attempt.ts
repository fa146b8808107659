import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {TargetCallTracker} from './target-calls.js';

/** One attempt to serve a call at one target. */
export interface Attempt {
  readonly number: number;
  readonly target: TargetAnnouncement;
  readonly tracker: TargetCallTracker;
  /** Time from the start of the call to this attempt, in milliseconds. */
  readonly sentAfterMs: number;
}
