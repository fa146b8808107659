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

/** Fewest pauses of a stream from which their length is learned. */
const MIN_PAUSES = 2;

/**
 * Follows a call at a target and teaches the models what it took once its response is complete. A
 * response that breaks off or is cancelled says nothing about the speed of its target.
 */
export class CallProgress {
  private firstEventAt: number | undefined;
  private lastEventAt = 0;
  private eventCount = 0;

  constructor(private readonly call: SentCall) {}

  /** Time from sending the call to its first event, in milliseconds; undefined before it. */
  get firstEventMs(): number | undefined {
    return this.firstEventAt === undefined
      ? undefined
      : this.firstEventAt - this.call.sentAt;
  }

  /** Records an event, or a part of a response that is no stream, at time `now`. */
  recordEvent(now: number): void {
    this.eventCount += 1;
    this.lastEventAt = now;
    if (this.firstEventAt === undefined) {
      this.firstEventAt = now;
    }
  }

  /** Records that the whole response had arrived at time `now`. */
  recordCompletion(now: number): void {
    const {call, eventCount, firstEventAt} = this;
    const {isPlain, isStream, route, running, service, target} = call;
    if (firstEventAt === undefined) {
      return;
    }
    this.learnFirstEvent(firstEventAt - call.sentAt, now);
    if (isPlain) {
      // Up to its last part: a caller that reads slowly holds up the end alone.
      const tookMs = this.lastEventAt - call.sentAt;
      const response = {route, workInFront: call.workInFront, tookMs};
      service.recordPlainResponse(target, response, now);
    }
    if (isStream) {
      service.route(route).recordEvents(eventCount, now);
    }
    if (isStream && eventCount > MIN_PAUSES) {
      const meanMs = (this.lastEventAt - firstEventAt) / (eventCount - 1);
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
