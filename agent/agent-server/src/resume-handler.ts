import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import {openRequest} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {
  LAST_EVENT_HEADER,
  REQUEST_ID_HEADER,
  resumePath,
} from '@marigoldspur/target-client';
import {createResponseCheck} from './response-check.js';
import {relayResponse} from './attempt-response.js';
import type {EngineComponents} from './engine-components.js';
import {unknownOutcomeRefusal} from './attempt-end.js';
import {attemptId} from './attempt-headers.js';
import type {StreamReader, StreamRegistry} from './stream-registry.js';
import {isCrossed, refuseCrossed, resumeWindowMs} from './target-response.js';

/** What a resume desk works with. */
export interface ResumeHandlerOptions {
  readonly target: string;
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly streams: StreamRegistry;
  /** Absent for a plain service, which resumes nothing. */
  readonly engine?: EngineComponents;
}

/** A stream to go on with. */
export interface ResumeRequest {
  readonly hop: Hop;
  /** Number of the last event that came. */
  readonly after: number;
  readonly response: ServerResponse;
  /** Latest end, a `performance.now()` time. */
  readonly deadlineMs: number;
  /** Aborted once the entry is gone. */
  readonly signal: AbortSignal;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_NO_CONTENT = 204;

/**
 * Goes on with broken streams, and stops cancelled ones. Nothing is run anew: what the
 * engine no longer knows is refused. So it needs no lease: it gives no order, and the
 * engine keeps the run whoever reads it.
 */
export class ResumeHandler {
  private readonly connections = new http.Agent({keepAlive: false});

  constructor(private readonly options: ResumeHandlerOptions) {}

  /** Stops the attempt that a hop names. */
  cancel(hop: Hop, response: ServerResponse): void {
    const {engine, events, streams} = this.options;
    events.record('attempt-cancelled', {attempt: hop.attempt}, hop.request);
    if (engine !== undefined) {
      streams.cancel(attemptId(hop));
    }
    response.writeHead(STATUS_NO_CONTENT).end();
  }

  /** Relays the rest of a stream; a refusal is left to be sent. */
  async resume(resume: ResumeRequest): Promise<Refusal | undefined> {
    const {engine, target} = this.options;
    const {hop, signal} = resume;
    if (hop.target !== target || hop.model === undefined || !engine) {
      return unknownOutcomeRefusal(
        421,
        'resume_gone',
        'the stream is not here',
      );
    }
    // After a pause of the process the end of the link is read in the next turn.
    await nextTurn();
    if (signal.aborted) {
      return unknownOutcomeRefusal(499, 'entry_gone', 'the entry went away');
    }
    return this.open(resume, formatModel(hop.model), engine);
  }

  private open(
    resume: ResumeRequest,
    model: string,
    {host}: EngineComponents,
  ): Promise<Refusal | undefined> {
    const {after, deadlineMs, hop, signal} = resume;
    const id = attemptId(hop);
    const pin = host.pinHeld(model);
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
      parentSignals: [signal],
    });
    return new Promise(resolve => {
      const call = openRequest({
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
      call.on('error', error =>
        fail(unknownOutcomeRefusal(502, 'target_broke_off', error.message)),
      );
      call.on('response', answer => {
        const refusal = this.refusalOf(answer);
        if (refusal !== undefined) {
          answer.destroy();
          fail(refusal);
          return;
        }
        const leave = () => answer.destroy();
        const reader = this.options.streams.open({id, pin, leave});
        void this.relay(resume, model, answer, reader).then(resolve);
      });
      call.on('close', () => bounded.dispose());
      call.end();
    });
  }

  /** Why an answer does not go on with a stream. */
  private refusalOf(answer: IncomingMessage): Refusal | undefined {
    const {statusCode} = answer;
    if (statusCode === STATUS_NOT_FOUND) {
      const message = 'the engine no longer has the stream';
      return unknownOutcomeRefusal(410, 'resume_gone', message);
    }
    const message = 'the engine did not resume the stream';
    return statusCode === STATUS_OK && resumeWindowMs(answer) > 0
      ? undefined
      : unknownOutcomeRefusal(502, 'resume_failed', message);
  }

  private async relay(
    resume: ResumeRequest,
    model: string,
    answer: IncomingMessage,
    reader: StreamReader,
  ): Promise<undefined> {
    const {events, streams} = this.options;
    const {after, deadlineMs, hop} = resume;
    const holdMs = resumeWindowMs(answer);
    const end = await this.relayChecked(resume, model, answer);
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

  private relayChecked(
    resume: ResumeRequest,
    model: string,
    answer: IncomingMessage,
  ) {
    const {after, hop, response} = resume;
    // The boot is not known before the first look at the engine.
    const boot = this.options.engine?.watch.state.boot || undefined;
    if (isCrossed({hop, boot}, answer)) {
      refuseCrossed({hop, response}, answer);
      return Promise.resolve('crossed' as const);
    }
    response.setHeader(HOP_HEADERS.resumable, String(resumeWindowMs(answer)));
    response.setHeader(HOP_HEADERS.resumeAfter, String(after));
    const check = createResponseCheck(answer, model);
    return relayResponse(hop, answer, response, check);
  }
}
