import type {ServiceModel} from './service-model.js';
import type {TargetModel} from './target-model.js';

/** What is known of a call when it is sent to a target. */
export interface SentCall {
  readonly service: ServiceModel;
  readonly target: TargetModel;
  readonly route: string;
  readonly sentAt: number;
  /** Whether the call asks a model engine for a stream of events. */
  readonly isStream: boolean;
  /** Whether the call asks for the response of a plain target. */
  readonly isPlain: boolean;
  /** Prompt tokens that the target has to process for this call. */
  readonly promptTokens: number;
  /** Whether no other prompt is known to be queued before this one. */
  readonly isFirstInQueue: boolean;
  /** Requests that run at the target. */
  readonly running: number;
  /** Work of other requests per slot, in units of the service's mean call. */
  readonly workInFront: number;
}

/** Fewest pauses between the parts of a stream from which their length is learned. */
const MIN_PAUSES = 2;

/**
 * Follows a call at a target and teaches the models what it took once its response is complete. A
 * response that breaks off or is cancelled says nothing about the speed of its target.
 */
export class CallProgress {
  private firstPartAt: number | undefined;
  private lastPartAt = 0;
  /** Parts as the connection delivered them; one may hold several events, or a piece of one. */
  private partCount = 0;

  constructor(private readonly call: SentCall) {}

  /** Time from sending the call to its first event, in milliseconds; undefined before it. */
  get firstEventMs(): number | undefined {
    return this.firstPartAt === undefined
      ? undefined
      : this.firstPartAt - this.call.sentAt;
  }

  /** Records that a part of the response arrived at time `now`, from that of the first event on. */
  recordPart(now: number): void {
    this.partCount += 1;
    this.lastPartAt = now;
    if (this.firstPartAt === undefined) {
      this.firstPartAt = now;
    }
  }

  /** Records that the whole response had arrived at time `now`. */
  recordCompletion(now: number): void {
    const {call, partCount, firstPartAt} = this;
    const {isPlain, isStream, route, running, service, target} = call;
    if (firstPartAt === undefined) {
      return;
    }
    this.learnFirstEvent(firstPartAt - call.sentAt, now);
    if (isPlain) {
      // Up to its last part: a caller that reads slowly holds up the end alone.
      const tookMs = this.lastPartAt - call.sentAt;
      const response = {route, workInFront: call.workInFront, tookMs};
      service.recordPlainResponse(target, response, now);
    }
    if (isStream) {
      service.route(route).recordEvents(partCount, now);
    }
    if (isStream && partCount > MIN_PAUSES) {
      const meanMs = (this.lastPartAt - firstPartAt) / (partCount - 1);
      service.recordPauses(target, {meanMs, running}, now);
    }
  }

  private learnFirstEvent(tookMs: number, now: number): void {
    const {isFirstInQueue, isStream, promptTokens} = this.call;
    const {service, target} = this.call;
    if (isStream && isFirstInQueue) {
      service.recordFirstEvent(target, {promptTokens, tookMs}, now);
    }
  }
}
