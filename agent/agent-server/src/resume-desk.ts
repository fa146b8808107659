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
import {engineAnswerCheck} from './answer-check.js';
import {relayAnswer} from './attempt-answer.js';
import type {EngineParts} from './engine-parts.js';
import {unknownOutcome} from './attempt-end.js';
import {attemptId} from './attempt-headers.js';
import type {StreamReader, StreamTable} from './stream-table.js';
import {isCrossed, refuseCrossed, resumableFor} from './target-answer.js';

/** What a resume desk works with. */
export interface ResumeDeskOptions {
  readonly target: string;
  readonly targetUrl: string;
  readonly events: EventLog;
  readonly streams: StreamTable;
  /** Absent for a plain service, which resumes nothing. */
  readonly engine?: EngineParts;
}

/** A stream to go on with. */
export interface Resume {
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
export class ResumeDesk {
  private readonly connections = new http.Agent({keepAlive: false});

  constructor(private readonly options: ResumeDeskOptions) {}

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
  async resume(resume: Resume): Promise<Refusal | undefined> {
    const {engine, target} = this.options;
    const {hop, signal} = resume;
    if (hop.target !== target || hop.model === undefined || !engine) {
      return unknownOutcome(421, 'resume_gone', 'the stream is not here');
    }
    // After a pause of the process the end of the link is read in the next turn.
    await nextTurn();
    if (signal.aborted) {
      return unknownOutcome(499, 'entry_gone', 'the entry went away');
    }
    return this.open(resume, formatModel(hop.model), engine);
  }

  private open(
    resume: Resume,
    model: string,
    {host}: EngineParts,
  ): Promise<Refusal | undefined> {
    const {after, deadlineMs, hop, signal} = resume;
    const id = attemptId(hop);
    const pin = host.pinHeld(model);
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(1, Math.ceil(deadlineMs - performance.now())),
      follows: [signal],
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
        fail(unknownOutcome(502, 'target_broke_off', error.message)),
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
      call.on('close', () => bounded.release());
      call.end();
    });
  }

  /** Why an answer does not go on with a stream. */
  private refusalOf(answer: IncomingMessage): Refusal | undefined {
    const {statusCode} = answer;
    if (statusCode === STATUS_NOT_FOUND) {
      const message = 'the engine no longer has the stream';
      return unknownOutcome(410, 'resume_gone', message);
    }
    const message = 'the engine did not resume the stream';
    return statusCode === STATUS_OK && resumableFor(answer) > 0
      ? undefined
      : unknownOutcome(502, 'resume_failed', message);
  }

  private async relay(
    resume: Resume,
    model: string,
    answer: IncomingMessage,
    reader: StreamReader,
  ): Promise<undefined> {
    const {events, streams} = this.options;
    const {after, deadlineMs, hop} = resume;
    const holdMs = resumableFor(answer);
    const end = await this.relayChecked(resume, model, answer);
    if (end === 'whole') {
      streams.ended(reader);
    } else {
      streams.broke(reader, Math.min(holdMs, deadlineMs - performance.now()));
    }
    const {attempt, request} = hop;
    events.record('stream-reopened', {attempt, after, end}, request);
    return undefined;
  }

  private relayChecked(resume: Resume, model: string, answer: IncomingMessage) {
    const {after, hop, response} = resume;
    // The boot is not known before the first look at the engine.
    const boot = this.options.engine?.watch.state.boot || undefined;
    if (isCrossed({hop, boot}, answer)) {
      refuseCrossed({hop, response}, answer);
      return Promise.resolve('crossed' as const);
    }
    response.setHeader(HOP_HEADERS.resumable, String(resumableFor(answer)));
    response.setHeader(HOP_HEADERS.resumeAfter, String(after));
    const check = engineAnswerCheck(answer, model);
    return relayAnswer(hop, answer, response, check);
  }
}
