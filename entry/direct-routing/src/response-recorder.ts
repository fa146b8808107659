import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {Attempt} from './attempt.js';
import {describeRequest} from './call-descriptions.js';
import type {Call} from './call.js';
import type {CrashRecorder} from './crash-recorder.js';
import {isStream} from './response-head.js';
import {ResponseProgress, type ResponseEnd} from './response-progress.js';
import type {StreamOrigins} from './stream-origins.js';
import {isSuccess, type TargetResponse} from './target-client.js';
import type {TargetSelector} from './target-selector.js';

/** Options of a response recorder. */
export interface ResponseRecorderOptions {
  readonly selector: Pick<TargetSelector, 'recordFailure'>;
  readonly crashes: Pick<CrashRecorder, 'recordBreak' | 'recordCompletion'>;
  readonly streamOrigins: Pick<StreamOrigins, 'recordFirstEvent'>;
  readonly events: EventLog;
}

/** Follows successful responses, and records how far they get and how they end. */
export class ResponseRecorder {
  constructor(private readonly options: ResponseRecorderOptions) {}

  /**
   * Follows how far the response to an attempt gets; undefined if it is not successful. `signal` aborts
   * if this process cancels the attempt.
   */
  follow(
    call: Call,
    attempt: Attempt,
    response: TargetResponse,
    signal: AbortSignal,
  ): ResponseProgress | undefined {
    const {metadata, message} = response;
    if (metadata.hasNotRun || !isSuccess(message.statusCode)) {
      return undefined;
    }
    return new ResponseProgress(response, {
      isStream: isStream(call, message),
      maxOutputTokens: call.metadata.work?.maxOutputTokens,
      onEnd: end =>
        this.recordEnd(call, attempt, {
          ...end,
          isAborted: signal.aborted,
        }),
      onFirstEvent: () => void this.recordFirstEvent(call, attempt, response),
      onPart: () => attempt.tracker.recordEvent(performance.now()),
    });
  }

  /** Records a target whose responses have to wait because it brings too many small chunks. */
  recordChunkExcess(target: TargetAnnouncement): void {
    this.suspect(target, 'chunks');
  }

  /** Records that a response broke off because its chunks are too many and too small. */
  recordFragmentation({metadata}: Call, {number, target}: Attempt): void {
    const details = {attempt: number, target: target.id};
    this.options.events.record('response-fragmented', details, metadata.id);
    this.suspect(target, 'chunks');
  }

  /** Records the origin of a stream that callers may take up. */
  private async recordFirstEvent(
    call: Call,
    {target}: Attempt,
    {isAnnouncedStart}: TargetResponse,
  ): Promise<void> {
    const isBegun = call.metadata.resumeAfter === undefined;
    if (isBegun && (await isAnnouncedStart)) {
      const {streamOrigins} = this.options;
      streamOrigins.recordFirstEvent(call, target, performance.now());
    }
  }

  private recordEnd(
    call: Call,
    {number, target, tracker}: Attempt,
    end: ResponseEnd & {readonly isAborted: boolean},
  ): void {
    const {events} = this.options;
    const {id} = call.metadata;
    const {hasEvent, isAborted, isComplete, isExceeded, isStopped} = end;
    if (isExceeded) {
      this.recordExcess(call, target, number);
    }
    if (isComplete) {
      tracker.recordCompletion(performance.now());
      this.options.crashes.recordCompletion(call);
      return;
    }
    if (!isAborted && !isStopped) {
      tracker.recordBreak();
    }
    const details = {
      attempt: number,
      target: target.id,
      arrived: hasEvent ? 'event' : 'head',
      aborted: isAborted,
      ...describeRequest(call),
    };
    events.record('response-broken', details, id);
    if (!hasEvent || !call.route.streaming) {
      this.options.crashes.recordBreak(call, target, {
        hasHead: true,
        isAborted,
      });
    }
  }

  /** Records a target whose stream holds more events than the request has tokens. */
  private recordExcess(
    call: Call,
    target: TargetAnnouncement,
    attempt: number,
  ): void {
    const {id, work} = call.metadata;
    const tokens = work?.maxOutputTokens ?? 0;
    const details = {attempt, target: target.id, tokens};
    this.options.events.record('stream-exceeded', details, id);
    this.suspect(target, 'excess');
  }

  private suspect(target: TargetAnnouncement, reason: string): void {
    const {events, selector} = this.options;
    if (selector.recordFailure(target, 'excess', performance.now())) {
      events.record('target-suspected', {target: target.id, reason});
    }
  }
}
