import type {
  Route,
  Service,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {ModelWork} from './wire-format.js';

/** What the choice of a target depends on of a call's route. */
export type RouteRequirements = Pick<Route, 'name' | 'streaming'> &
  Partial<Pick<Route, 'maxGapMs'>>;

/** What a call requires of a target. */
export interface TargetRequirements {
  readonly service: Service;
  /** The route of the call; undefined if nothing is known about it. */
  readonly route?: RouteRequirements;
  readonly work?: ModelWork;
  /**
   * Version of the adapter that must serve the call; any version if undefined.
   */
  readonly version?: number;
  /** Origin of the stream that the call continues; undefined if any target may serve it. */
  readonly origin?: StreamOrigin;
  /** IDs of targets that must not be used. */
  readonly excluded: ReadonlySet<string>;
}

/** The target chosen for a call. */
export interface ChosenTarget {
  readonly target: TargetAnnouncement;
  /** Whether the engine has to load the adapter first. */
  readonly needsAdapter: boolean;
  /**
   * Expected time until the target starts to process the call, in milliseconds;
   * 0 if unknown.
   */
  readonly waitMs: number;
  /**
   * Expected time from then until the response starts, in milliseconds; 0 if
   * unknown.
   */
  readonly processingMs: number;
  /** Expected time until the whole response has arrived, in milliseconds; 0 if unknown. */
  readonly completionMs: number;
  /** Expected pause between two events, in milliseconds; 0 if unknown. */
  readonly pauseMs: number;
  /** Whether no target is known to have memory for the call. */
  readonly lacksMemory: boolean;
  /**
   * Time in which an engine loads the model of the call, in milliseconds, if all engines lack
   * the memory for it beside the models that other calls use; undefined otherwise.
   */
  readonly missingModelLoadMs?: number;
}
