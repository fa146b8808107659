import type {IncomingMessage, ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import {
  findInvalidHead,
  openRequest,
  TargetHttpAgent,
  type ChunkMeter,
} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {
  LAST_EVENT_HEADER,
  REQUEST_ID_HEADER,
  resumePath,
} from '@marigoldspur/engine-client';
import {createResponseCheck} from './response-check.js';
import {relayResponse} from './attempt-response.js';
import type {EngineComponents} from './engine-components.js';
import {unknownOutcomeRefusal} from './attempt-end.js';
import {attemptId} from './attempt-headers.js';
import type {StreamReader, StreamRegistry} from './stream-registry.js';
import {isCrossed, refuseCrossed, resumeWindowMs} from './target-response.js';

/** Options of a resume handler. */
export interface ResumeHandlerOptions {
  readonly target: string;
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly streams: StreamRegistry;
  /** Counts the chunks of all responses of the target. */
  readonly chunkMeter: ChunkMeter;
  /** Absent for a plain service, which does not support resuming. */
  readonly engine?: EngineComponents;
}

/** A request to resume a stream. */
export interface ResumeRequest {
  readonly hop: Hop;
  /** Number of the last event that was received. */
  readonly after: number;
  readonly response: ServerResponse;
  /** Deadline, as a `performance.now()` value. */
  readonly deadlineMs: number;
  /** Aborted when the entry disconnects. */
  readonly signal: AbortSignal;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_NO_CONTENT = 204;

/**
 * Resumes interrupted streams and stops cancelled ones. Requests are never run
 * again: a stream that the engine no longer has is refused. No lease is needed,
 * because no order is sent and the engine continues the run regardless of who
 * reads it.
 */
export class ResumeHandler {
  private readonly connections = new TargetHttpAgent({keepAlive: false});

  constructor(private readonly options: ResumeHandlerOptions) {}

  /** Stops the attempt identified by `hop`. */
  cancel(hop: Hop, response: ServerResponse): void {
    const {engine, events, streams} = this.options;
    events.record('attempt-cancelled', {attempt: hop.attempt}, hop.request);
    if (engine !== undefined) {
      streams.cancel(attemptId(hop));
    }
    response.writeHead(STATUS_NO_CONTENT).end();
  }

  /**
   * Relays the rest of a stream. If it resolves with a refusal, the caller must
   * send it.
   */
  async resume(resume: ResumeRequest): Promise<Refusal | undefined> {
    const {engine, target} = this.options;
    const {hop, signal} = resume;
    if (hop.target !== target || hop.model === undefined || !engine) {
      return unknownOutcomeRefusal(
        421,
        'resume_gone',
        'the stream does not exist on this target',
      );
    }
    // After the process was paused, a disconnect is detected only in the next
    // event loop iteration.
    await nextTurn();
    if (signal.aborted) {
      return unknownOutcomeRefusal(499, 'entry_gone', 'the entry disconnected');
    }
    return this.open(resume, formatModel(hop.model), engine);
  }

  private open(
    resume: ResumeRequest,
    model: string,
    {loader}: EngineComponents,
  ): Promise<Refusal | undefined> {
    const {after, deadlineMs, hop, signal} = resume;
    const id = attemptId(hop);
    const pin = loader.pinExisting(model);
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
      parentSignals: [signal],
    });
    return new Promise((resolve, reject) => {
      const targetRequest = openRequest({
        url: new URL(resumePath(id), this.options.targetUrl),
        method: 'GET',
        headers: {
          [LAST_EVENT_HEADER]: String(after),
          [REQUEST_ID_HEADER]: id,
        },
        agent: this.connections,
        signal: bounded.signal,
      });
      const fail = (refusal: Refusal) => {
        pin?.release(performance.now());
        resolve(refusal);
      };
      let hasResponse = false;
      targetRequest.on('error', error => {
        // The response may be whole although its connection failed.
        if (!hasResponse) {
          fail(unknownOutcomeRefusal(502, 'target_broke_off', error.message));
        }
      });
      targetRequest.on('response', targetResponse => {
        hasResponse = true;
        const refusal = this.checkTargetResponse(targetResponse);
        if (refusal !== undefined) {
          targetResponse.destroy();
          fail(refusal);
          return;
        }
        const stopReading = () => targetResponse.destroy();
        const reader = this.options.streams.open({id, pin, stopReading});
        this.relay(resume, model, targetResponse, reader).then(resolve, reject);
      });
      targetRequest.on('close', () => bounded.dispose());
      targetRequest.end();
    });
  }

  /** Returns a refusal if the target's response does not resume the stream. */
  private checkTargetResponse(
    targetResponse: IncomingMessage,
  ): Refusal | undefined {
    const {statusCode} = targetResponse;
    const invalid = findInvalidHead(targetResponse);
    if (invalid !== undefined) {
      return unknownOutcomeRefusal(502, 'resume_failed', invalid);
    }
    if (statusCode === STATUS_NOT_FOUND) {
      const message = 'the engine no longer has the stream';
      return unknownOutcomeRefusal(410, 'resume_gone', message);
    }
    const message = 'the engine did not resume the stream';
    return statusCode === STATUS_OK && resumeWindowMs(targetResponse) > 0
      ? undefined
      : unknownOutcomeRefusal(502, 'resume_failed', message);
  }

  private async relay(
    resume: ResumeRequest,
    model: string,
    targetResponse: IncomingMessage,
    reader: StreamReader,
  ): Promise<undefined> {
    const {events, streams} = this.options;
    const {after, deadlineMs, hop} = resume;
    const holdMs = resumeWindowMs(targetResponse);
    const end = await this.relayVerified(resume, model, targetResponse);
    if (end === 'whole') {
      streams.recordEnd(reader);
    } else {
      streams.recordDisconnect(
        reader,
        Math.min(holdMs, deadlineMs - performance.now()),
      );
    }
    const {attempt, request} = hop;
    events.record('stream-reopened', {attempt, after, end}, request);
    return undefined;
  }

  private relayVerified(
    resume: ResumeRequest,
    model: string,
    targetResponse: IncomingMessage,
  ) {
    const {after, hop, response} = resume;
    // The boot ID is unknown before the first health check of the engine.
    const boot = this.options.engine?.monitor.state.boot || undefined;
    if (isCrossed({hop, boot}, targetResponse)) {
      refuseCrossed({hop, response}, targetResponse);
      return Promise.resolve('crossed' as const);
    }
    response.setHeader(
      HOP_HEADERS.resumable,
      String(resumeWindowMs(targetResponse)),
    );
    response.setHeader(HOP_HEADERS.resumeAfter, String(after));
    const check = createResponseCheck(targetResponse, model);
    const {chunkMeter} = this.options;
    return relayResponse(targetResponse, {hop, response, check, chunkMeter});
  }
}
