import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import type {Result} from 'true-myth';
import type {Deployment} from '@marigoldspur/deployment';
import type {PromptPart} from '@marigoldspur/engine-choice';
import type {Finding, Refusal} from '@marigoldspur/faults';
import type {StartQuestion} from '@marigoldspur/target-starts';

/** Work that a call requests from a model engine. */
export interface ModelWork {
  readonly model: string;
  /** Absent if the base model itself is requested. */
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order; the last one is unique to the call. */
  readonly parts: readonly PromptPart[];
}

/** Metadata that a caller sends in the headers of a call. */
export interface CallMetadata {
  /** ID that the caller gave the call; empty if it gave none. */
  readonly id: string;
  /** Time that the caller waits, in milliseconds; undefined if not stated. */
  readonly deadlineMs?: number;
  /** What the caller states in place of such a time, if that can't be read as one. */
  readonly invalidDeadline?: string;
  /**
   * Number of the last event that the caller has, if a stream is to be resumed.
   */
  readonly resumeAfter?: number;
  /** What the caller states in place of such a number, if that can't be read as one. */
  readonly invalidResumeAfter?: string;
  /** ID of the call that brought the first event of that stream; absent if not stated. */
  readonly resumes?: string;
  readonly work?: ModelWork;
  /** API key that the caller sent; absent if it sent none, and after the call was admitted. */
  readonly key?: string;
  /** Sum of the prompt tokens and the maximum output tokens; absent if not stated. */
  readonly statedTokens?: number;
  /** Credentials by which the caller identifies itself; absent if it sent none. */
  readonly credentials?: string;
}

/** Values for the headers of a call to one target. */
export interface TargetHeaderValues {
  /** ID of the target. */
  readonly target: string;
  /** Time until the call's deadline, in milliseconds. */
  readonly deadlineMs?: number;
  /** The only version of the adapter that may serve the call. */
  readonly version?: number;
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Name of the call's tenant; absent if it has none. */
  readonly tenant?: string;
  /** Whether the key and the tenant that the caller sent are dropped. */
  readonly dropsKey?: boolean;
  /** Number of the last event received, if a stream is to be resumed. */
  readonly resumeAfter?: number;
}

/** Metadata from the headers of a target's response. */
export interface ResponseMetadata {
  /** Whether the response carries the ID of the call that was sent. */
  readonly matchesCallId: boolean;
  /** Whether the target attests that a successful response and its body are its own. */
  readonly isAttested: boolean;
  /** Whether the target states that it did not run the call. */
  readonly hasNotRun: boolean;
  /**
   * Whether the target states that it is not the requested target, or that it
   * does not hold what was requested.
   */
  readonly isMisdirected: boolean;
  /** ID of the target that responded, if stated. */
  readonly target?: string;
  /** Whether the target states that it leaves and takes no new calls. */
  readonly isLeaving: boolean;
  /** Time for which the target wants nothing from this entry, in milliseconds, if stated. */
  readonly pauseMs?: number;
  /** What the target states in place of such a time, if that is no number of seconds. */
  readonly invalidPause?: string;
  /** Load of the target, if stated. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work currently takes there; 1 is the usual time. Absent if not stated. */
    readonly pace?: number;
  };
  /**
   * Requests per second that the target takes from all entries together, if it
   * states a limit.
   */
  readonly requestsPerSecond?: number;
}

/** The wire format between callers, entries and targets of a deployment. */
export interface WireFormat {
  /** Path of the readiness check. */
  readonly readinessPath: string;
  /** How a target is asked when it started. */
  readonly startQuestion: StartQuestion;
  /** Parses a deployment as submitted by its operator. */
  parseDeployment(text: string): Result<Deployment, readonly Finding[]>;
  /** Parses the headers of a call. */
  parseCallHeaders(headers: IncomingHttpHeaders): CallMetadata;
  /** Builds the headers that are sent to a target. */
  targetHeaders(
    headers: IncomingHttpHeaders,
    values: TargetHeaderValues,
  ): OutgoingHttpHeaders;
  /** Parses the headers of a target's response to the call `id`. */
  parseResponseHeaders(message: IncomingMessage, id: string): ResponseMetadata;
  /** Builds the headers of a refusal. */
  refusalHeaders(id: string, refusal: Refusal): OutgoingHttpHeaders;
}
