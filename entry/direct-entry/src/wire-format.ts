import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import type {Result} from 'true-myth';
import type {Deployment} from '@marigoldspur/deployment';
import type {PromptPart} from '@marigoldspur/engine-choice';
import type {Finding, Refusal} from '@marigoldspur/faults';

/** Work that a call asks a model engine for. */
export interface ModelWork {
  readonly model: string;
  /** Absent where the model itself is asked for. */
  readonly adapter?: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order; the last one belongs to the call alone. */
  readonly parts: readonly PromptPart[];
}

/** What a caller says in the head of a call. */
export interface CallMetadata {
  /** Identity that the caller gave the call; empty where it gave none. */
  readonly id: string;
  /** Time that the caller waits, in milliseconds; undefined where it does not say. */
  readonly deadlineMs?: number;
  /** Number of the last event that the caller has, where a stream is to go on. */
  readonly resumeAfter?: number;
  readonly work?: ModelWork;
}

/** How a call is sent to one target. */
export interface TargetHeaderValues {
  /** Identity of the target. */
  readonly target: string;
  /** Time that is left for the call, in milliseconds. */
  readonly deadlineMs?: number;
  /** The only version of the adapter that may serve it. */
  readonly version?: number;
  /** Rank of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Number of the last event that came, where a stream is to go on. */
  readonly resumeAfter?: number;
}

/** What the head of a target's answer says. */
export interface ResponseMetadata {
  /** Whether the answer belongs to the call with the identity that was sent. */
  readonly matchesCallId: boolean;
  /** Whether the target states that it did not run the call. */
  readonly notRun: boolean;
  /** Whether the target states that it is another one, or holds something else, than was asked for. */
  readonly misdirected: boolean;
  /** Identity of the target that answered, where it says so. */
  readonly target?: string;
  /** How busy the target is, where it says so. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
  };
}

/** How callers and targets of a deployment speak. */
export interface WireFormat {
  /** Path at which a readiness check asks. */
  readonly readinessPath: string;
  /** Reads a deployment as its operator sent it. */
  readDeployment(text: string): Result<Deployment, readonly Finding[]>;
  /** Reads the head of a call. */
  parseCallHeaders(headers: IncomingHttpHeaders): CallMetadata;
  /** The headers that a target gets. */
  targetHeaders(
    headers: IncomingHttpHeaders,
    sending: TargetHeaderValues,
  ): OutgoingHttpHeaders;
  /** Reads the head of a target's answer to the call `id`. */
  parseResponseHeaders(message: IncomingMessage, id: string): ResponseMetadata;
  /** The headers of a refusal. */
  refusalHeaders(id: string, refusal: Refusal): OutgoingHttpHeaders;
}
