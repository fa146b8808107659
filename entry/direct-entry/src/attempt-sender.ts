import type {Result} from 'true-myth';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {AdapterAgentClient} from './adapter-agent-client.js';
import {remainingMs, MIN_REMAINING_MS, type Call} from './call.js';
import type {WireFormat} from './wire-format.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {TargetSelector, TargetCallTracker} from './target-selector.js';
import type {TargetFinder} from './target-finder.js';
import {
  refusalForFailure,
  type TargetResponse,
  type TargetClient,
  type TargetFailure,
} from './target-client.js';

/** One call that is sent to one target. */
export interface Attempt {
  readonly number: number;
  readonly target: TargetAnnouncement;
  readonly tracker: TargetCallTracker;
}

/** What an attempt sender works with. */
export interface AttemptSenderOptions {
  readonly finder: Pick<TargetFinder, 'versionFor'>;
  readonly book: TargetSelector;
  readonly client: TargetClient;
  readonly adapters: Pick<AdapterAgentClient, 'begin'>;
  readonly dialect: WireFormat;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
}

/** Silence after which a call that may run twice is sent to another target, in multiples of the route's aim. */
const SILENCE_AIMS = 2;
const MIN_SILENCE_MS = 500;
const RETRY_SOON_SECONDS = 0.5;
const LOWEST_PRIORITY = 9;

/** Sends calls to targets, and takes note of what becomes of them. */
export class AttemptSender {
  constructor(private readonly options: AttemptSenderOptions) {}

  /** Counts a call at its target, and its use of an adapter there, until the run ends. */
  startAttempt(
    call: Call,
    target: TargetAnnouncement,
    number: number,
  ): Attempt {
    const {adapters, book} = this.options;
    const {work} = call.head;
    const run = book.startCall(target, work, performance.now());
    if (work?.adapter === undefined) {
      return {number, target, tracker: run};
    }
    const adapter = adapterName(work.model, work.adapter);
    const endUse = adapters.begin(target.address, adapter);
    const end = (now: number) => {
      run.end(now);
      endUse();
    };
    return {number, target, tracker: {...run, end}};
  }

  /** Sends a call; a stream goes on after event `resumeAfter`, where one is given. */
  send(
    call: Call,
    {number, target}: Attempt,
    resumeAfter = call.head.resumeAfter,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const {client, dialect, events, finder} = this.options;
    const {head, route} = call;
    const left = remainingMs(call, performance.now());
    const details = {attempt: number, target: target.id};
    events.record('call-sent', details, head.id);
    return client.send({
      id: head.id,
      address: target.address,
      method: call.method,
      path: call.path,
      headers: {
        ...dialect.targetHeaders(call.headers, {
          target: target.id,
          deadlineMs:
            head.deadlineMs === undefined ? undefined : Math.floor(left),
          version: finder.versionFor(head.work),
          priority: Math.min(LOWEST_PRIORITY, route.priority),
          resumeAfter,
        }),
        ...bodyHeaders(call),
      },
      body: call.body,
      signal: call.signal,
      responseHeaderTimeoutMs: route.idempotent
        ? Math.max(MIN_SILENCE_MS, route.latencyObjectiveMs * SILENCE_AIMS)
        : left + MIN_REMAINING_MS,
    });
  }

  /** Takes note of a failure; gives the refusal that it means for the caller. */
  handleFailure(call: Call, attempt: Attempt, failure: TargetFailure): Refusal {
    const {book, events, metrics} = this.options;
    const {kind, outcome} = failure;
    const {target} = attempt;
    if (kind !== 'ended') {
      const evidence = {
        connect: 'connect-failed',
        silent: 'timeout',
        broken: 'broken',
        crossed: 'broken',
      } as const;
      if (book.recordFailure(target, evidence[kind], performance.now())) {
        events.record('target-suspected', {target: target.id, reason: kind});
      }
    }
    metrics.recordAttempt(call.service.name, kind);
    this.record(call, attempt, kind, outcome);
    return refusalForFailure(failure);
  }

  /** Takes note of a target's own failure, or of its statement that it did not run the call. */
  handleRejection(
    call: Call,
    attempt: Attempt,
    answer: TargetResponse,
  ): Refusal {
    const {head, message} = answer;
    message.on('error', () => {});
    message.resume();
    if (head.misdirected) {
      this.misdirected(call, attempt.target, head.target);
    }
    const status = message.statusCode ?? 0;
    const reason = head.misdirected ? 'misdirected' : `status_${status}`;
    const outcome = head.notRun ? 'not-run' : 'failed';
    const counted = head.notRun ? 'rejected' : 'failed';
    this.options.metrics.recordAttempt(call.service.name, counted);
    this.record(call, attempt, reason, outcome);
    return new Refusal(
      outcome,
      head.notRun ? 503 : 502,
      head.notRun ? 'target_full' : 'target_failed',
      `the target answered with status ${status}`,
      RETRY_SOON_SECONDS,
    );
  }

  /** Another target answers at the address, or the target lacks the adapter. */
  private misdirected(
    call: Call,
    target: TargetAnnouncement,
    answering: string | undefined,
  ): void {
    const {book} = this.options;
    const {work} = call.head;
    const now = performance.now();
    const isOther = answering !== undefined && answering !== target.id;
    if (isOther || work === undefined) {
      book.recordFailure(target, 'connect-failed', now);
    } else {
      book.recordMissingAdapter(target, work, now);
    }
  }

  private record(
    call: Call,
    {number, target}: Attempt,
    reason: string,
    outcome: string,
  ): void {
    const details = {attempt: number, target: target.id, reason, outcome};
    this.options.events.record('call-attempt-failed', details, call.head.id);
  }
}

function bodyHeaders({body, headers}: Call): Record<string, number> {
  const stated =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return stated || body.length > 0 ? {'content-length': body.length} : {};
}
