import type {ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import {
  FramedWholeness,
  relayAnswer,
  type AnswerLink,
  type RelayedAnswer,
  type RelayEnd,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import {RetryBudget} from '@marigoldspur/retries';
import type {AdapterRequests} from './adapter-requests.js';
import {leftMs, type Call} from './call.js';
import type {Dialect, ModelWork} from './dialect.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {RetryAllowance} from './direct-settings.js';
import type {ChosenTarget, TargetBook, TargetRun} from './target-book.js';
import {
  refusalAfter,
  type TargetAnswer,
  type TargetClient,
  type TargetFailure,
} from './target-client.js';

/** What a call runner works with. */
export interface CallRunnerOptions {
  readonly view: FleetView;
  readonly book: TargetBook;
  readonly client: TargetClient;
  readonly adapters: AdapterRequests;
  readonly dialect: Dialect;
  readonly retries: RetryAllowance;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
}

/** One call that was sent to one target. */
interface Attempt {
  readonly number: number;
  readonly target: TargetAnnouncement;
  readonly run: TargetRun;
}

/** What became of one attempt. */
type AttemptEnd = Result<undefined, Refusal>;

/** Part of the common allowance that is used: entries don't count at the same moment. */
const ALLOWANCE_PART = 0.8;
const SECOND_MS = 1_000;
/** Retries are needed in bursts, such as those of a target that ends, in seconds. */
const SAVED_SECONDS = 4;
/** Longest wait for a turn of the retry budget, in milliseconds. */
const MAX_RETRY_WAIT_MS = 500;
/** What did not run may be offered to this many targets beyond the route's attempts. */
const EXTRA_OFFERS = 2;
/** Below this time a target can't answer any more, in milliseconds. */
const MIN_LEFT_MS = 20;
/** Longest wait for an adapter before another engine is asked, in milliseconds. */
const PREPARE_TIMEOUT_MS = 1_500;
/** Silence after which a call that may run twice is sent to another target, in multiples of the route's aim. */
const SILENCE_AIMS = 2;
const MIN_SILENCE_MS = 500;
const MAX_COLLECTED_BYTES = 1_048_576;
const RETRY_SOON_SECONDS = 0.5;
const STATUS_SERVER_ERROR = 500;
const HIGHEST_PRIORITY = 9;

/** Runs calls at one target after another until one answers. */
export class CallRunner {
  /** Retries of each service. */
  private readonly retries = new Map<string, RetryBudget>();

  constructor(private readonly options: CallRunnerOptions) {}

  /** Serves a call; a refusal is left to be sent. */
  async run(call: Call, response: ServerResponse): Promise<AttemptEnd> {
    const {service} = call;
    const ratio = this.options.retries.ratio * ALLOWANCE_PART;
    this.budget(service.name).earn(ratio, performance.now());
    const excluded = new Set<string>();
    let refusal: Refusal | undefined;
    let mayHaveRun = false;
    let offers = 0;
    for (let number = 1; ; number += 1) {
      const left = leftMs(call, performance.now());
      if (call.signal.aborted || left < MIN_LEFT_MS) {
        return Result.err(final(refusal ?? outOfTime(), mayHaveRun));
      }
      const chosen = await this.ready(call, excluded);
      if (chosen === undefined) {
        return Result.err(final(refusal ?? noTarget(), mayHaveRun));
      }
      offers += 1;
      const ended = await this.attempt(call, chosen.target, number, response);
      if (ended.isOk) {
        return ended;
      }
      refusal = ended.error;
      mayHaveRun ||= refusal.outcome !== 'not-run';
      excluded.add(chosen.target.id);
      const limit = call.route.maxAttempts + (mayHaveRun ? 0 : EXTRA_OFFERS);
      const again =
        offers < limit &&
        (refusal.outcome === 'not-run' || call.route.idempotent) &&
        !response.headersSent &&
        (await this.takeRetryTurn(call));
      if (!again) {
        return Result.err(final(refusal, mayHaveRun));
      }
    }
  }

  /** A target that holds what the call needs; asks agents to make adapters ready. */
  private async ready(
    call: Call,
    excluded: ReadonlySet<string>,
  ): Promise<ChosenTarget | undefined> {
    const {book} = this.options;
    const {service, head} = call;
    const {work} = head;
    const unready = new Set(excluded);
    for (;;) {
      const version = this.versionFor(work);
      const need = {service, work, version, excluded: unready};
      const chosen = book.choose(need, performance.now());
      if (chosen === undefined || work === undefined) {
        return chosen;
      }
      if (!chosen.needsAdapter) {
        return chosen;
      }
      if (await this.prepare(call, chosen.target, work)) {
        return chosen;
      }
      unready.add(chosen.target.id);
      const left = leftMs(call, performance.now());
      if (call.signal.aborted || left < MIN_LEFT_MS) {
        return undefined;
      }
    }
  }

  private async prepare(
    call: Call,
    target: TargetAnnouncement,
    work: ModelWork,
  ): Promise<boolean> {
    const {adapters, events, metrics} = this.options;
    const now = performance.now();
    const bounded = new BoundedSignal({
      timeoutMs: Math.min(PREPARE_TIMEOUT_MS, leftMs(call, now)),
      follows: [call.signal],
    });
    const adapter = adapterName(work.model, work.adapter);
    const details = {target: target.id, adapter};
    events.record('adapter-awaited', details, call.head.id);
    const answer = await adapters.prepare(
      target.address,
      {
        model: work.model,
        adapter: work.adapter,
        version: this.versionFor(work),
        slots: call.service.engine?.adapterSlots ?? 0,
        target: target.id,
      },
      bounded.signal,
    );
    bounded.release();
    metrics.adapterWaited(answer.ready, performance.now() - now);
    if (!answer.ready && !call.signal.aborted) {
      const reason = answer.reason ?? '';
      events.record(
        'call-attempt-failed',
        {...details, reason, outcome: 'not-run'},
        call.head.id,
      );
    }
    return answer.ready;
  }

  private async attempt(
    call: Call,
    target: TargetAnnouncement,
    number: number,
    response: ServerResponse,
  ): Promise<AttemptEnd> {
    const run = this.begin(call, target);
    const attempt = {number, target, run};
    try {
      const sent = await this.send(call, attempt);
      if (sent.isErr) {
        return Result.err(this.afterFailure(call, attempt, sent.error));
      }
      return await this.answer(call, attempt, sent.value, response);
    } finally {
      run.end();
    }
  }

  /** Counts a call at its target, and its use of an adapter there. */
  private begin({head: {work}}: Call, target: TargetAnnouncement): TargetRun {
    const {adapters, book} = this.options;
    const run = book.begin(target, work, performance.now());
    if (work?.adapter === undefined) {
      return run;
    }
    const adapter = adapterName(work.model, work.adapter);
    const endUse = adapters.begin(target.address, adapter);
    return {
      ...run,
      end: () => {
        run.end();
        endUse();
      },
    };
  }

  private async send(
    call: Call,
    {number, target}: Attempt,
    resumeAfter = call.head.resumeAfter,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const {client, dialect, events} = this.options;
    const {head, route} = call;
    const now = performance.now();
    const left = leftMs(call, now);
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
          version: this.versionFor(head.work),
          priority: Math.min(HIGHEST_PRIORITY, route.priority),
          resumeAfter,
        }),
        ...bodyHeaders(call),
      },
      body: call.body,
      signal: call.signal,
      headTimeoutMs: route.idempotent
        ? Math.max(MIN_SILENCE_MS, route.aimMs * SILENCE_AIMS)
        : left + MIN_LEFT_MS,
    });
  }

  /** Takes note of a failure; gives the refusal that it means for the caller. */
  private afterFailure(
    call: Call,
    {number, target}: Attempt,
    failure: TargetFailure,
  ): Refusal {
    const {book, events, metrics} = this.options;
    const {kind, outcome} = failure;
    if (kind !== 'ended') {
      const evidence = {
        connect: 'connect-failed',
        silent: 'timeout',
        broken: 'broken',
        crossed: 'broken',
      } as const;
      const now = performance.now();
      if (book.failed(target, evidence[kind], now)) {
        events.record('target-suspected', {target: target.id, reason: kind});
      }
    }
    metrics.attempted(call.service.name, kind);
    events.record(
      'call-attempt-failed',
      {attempt: number, target: target.id, reason: kind, outcome},
      call.head.id,
    );
    return refusalAfter(failure);
  }

  /** Relays an answer, or gives the refusal where it is not to go to the caller. */
  private async answer(
    call: Call,
    attempt: Attempt,
    answer: TargetAnswer,
    response: ServerResponse,
  ): Promise<AttemptEnd> {
    const {metrics} = this.options;
    const {head, message} = answer;
    const status = message.statusCode ?? 0;
    const failed = status >= STATUS_SERVER_ERROR && !head.notRun;
    attempt.run.answered(head, failed, performance.now());
    if (head.notRun || (failed && call.route.idempotent)) {
      if (head.notRun || this.mayTryAnother(call, attempt)) {
        return Result.err(this.afterRejection(call, attempt, answer));
      }
    }
    metrics.attempted(call.service.name, failed ? 'failed' : 'answered');
    const ended = await this.relay(call, attempt, answer, response);
    return ended === 'lost' ? Result.err(tornAnswer()) : Result.ok(undefined);
  }

  private mayTryAnother(call: Call, {number}: Attempt): boolean {
    return number < call.route.maxAttempts;
  }

  /** A target's own failure, or its statement that it did not run the call. */
  private afterRejection(
    call: Call,
    {number, target}: Attempt,
    {head, message}: TargetAnswer,
  ): Refusal {
    const {book, events, metrics} = this.options;
    const {work} = call.head;
    message.on('error', () => {});
    message.resume();
    const now = performance.now();
    if (head.misdirected) {
      const isOther = head.target !== undefined && head.target !== target.id;
      if (isOther || work === undefined) {
        book.failed(target, 'connect-failed', now);
      } else {
        book.lacks(target, work, now);
      }
    }
    const status = message.statusCode ?? 0;
    const reason = head.misdirected ? 'misdirected' : `status_${status}`;
    const outcome = head.notRun ? 'not-run' : 'failed';
    metrics.attempted(call.service.name, head.notRun ? 'rejected' : 'failed');
    events.record(
      'call-attempt-failed',
      {attempt: number, target: target.id, reason, outcome},
      call.head.id,
    );
    return new Refusal(
      outcome,
      head.notRun ? 503 : 502,
      head.notRun ? 'target_full' : 'target_failed',
      `the target answered with status ${status}`,
      RETRY_SOON_SECONDS,
    );
  }

  private async relay(
    call: Call,
    attempt: Attempt,
    answer: TargetAnswer,
    response: ServerResponse,
  ): Promise<RelayEnd> {
    const {events, metrics} = this.options;
    const {route, head} = call;
    const isStream = route.streaming && answer.message.statusCode === 200;
    answer.message.once('data', () => {
      attempt.run.begun();
      metrics.begun(call.service.name, performance.now() - call.startedAt);
    });
    const {end, status} = await relayAnswer(answer, response, {
      headers: {},
      collectBytes: isStream ? 0 : MAX_COLLECTED_BYTES,
      endsWithDone: false,
      wholenessOf: relayed => new FramedWholeness(relayed),
      keepBytes: 0,
      outlivesCaller: false,
      signal: call.signal,
      link:
        isStream && route.idempotent ? this.linkFor(call, attempt) : undefined,
    });
    const name = {
      whole: 'call-answered',
      torn: 'call-torn',
      cancelled: 'call-cancelled',
      lost: 'call-attempt-failed',
    } as const;
    const tookMs = Math.round(performance.now() - call.startedAt);
    const details = {attempt: attempt.number, target: attempt.target.id};
    events.record(name[end], {...details, status, tookMs}, head.id);
    metrics.ended(call.service.name, end);
    return end;
  }

  /** Lets a stream that broke off go on at another engine. */
  private linkFor(call: Call, first: Attempt): AnswerLink {
    const excluded = new Set<string>([first.target.id]);
    const runs: TargetRun[] = [];
    let number = first.number;
    const close = () => runs.splice(0).forEach(run => run.end());
    return {
      reopen: async after => {
        close();
        if (call.signal.aborted || number >= call.route.maxAttempts) {
          return undefined;
        }
        if (!(await this.takeRetryTurn(call))) {
          return undefined;
        }
        const rest = await this.resume(call, excluded, (number += 1), after);
        if (rest !== undefined) {
          runs.push(rest.run);
        }
        return rest?.answer;
      },
      cancel: close,
    };
  }

  private async resume(
    call: Call,
    excluded: Set<string>,
    number: number,
    after: number,
  ): Promise<{answer: RelayedAnswer; run: TargetRun} | undefined> {
    const {events} = this.options;
    const chosen = await this.ready(call, excluded);
    if (chosen === undefined) {
      return undefined;
    }
    const {target} = chosen;
    excluded.add(target.id);
    const run = this.begin(call, target);
    const attempt = {number, target, run};
    const from = after < 0 ? call.head.resumeAfter : after;
    const sent = await this.send(call, attempt, from);
    const status = sent.isOk ? sent.value.message.statusCode : undefined;
    if (sent.isErr || status !== 200) {
      run.end();
      if (sent.isErr) {
        this.afterFailure(call, attempt, sent.error);
      } else {
        this.afterRejection(call, attempt, sent.value);
      }
      return undefined;
    }
    const details = {attempt: number, target: target.id, after};
    events.record('call-resumed', details, call.head.id);
    run.answered(sent.value.head, false, performance.now());
    return {answer: sent.value, run};
  }

  private async takeRetryTurn(call: Call): Promise<boolean> {
    const waitMs = this.budget(call.service.name).spend(performance.now());
    if (waitMs === undefined || waitMs > MAX_RETRY_WAIT_MS) {
      return false;
    }
    await new Promise(resolve => setTimeout(resolve, waitMs));
    return !call.signal.aborted;
  }

  private versionFor(work: ModelWork | undefined): number | undefined {
    return work && this.options.view.versionOf(work.model, work.adapter);
  }

  private budget(service: string): RetryBudget {
    const known =
      this.retries.get(service) ??
      new RetryBudget({
        leastPerSecond: () => this.leastRetriesPerSecond(),
        savedSeconds: SAVED_SECONDS,
      });
    this.retries.set(service, known);
    return known;
  }

  /** This entry's part of the retries that don't depend on the number of requests. */
  private leastRetriesPerSecond(): number {
    const {retries, view} = this.options;
    const seconds = retries.windowMs / SECOND_MS + SAVED_SECONDS;
    return (retries.slack * ALLOWANCE_PART) / seconds / view.entries;
  }
}

function bodyHeaders({body, headers}: Call): Record<string, number> {
  const stated =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  return stated || body.length > 0 ? {'content-length': body.length} : {};
}

/** After a target that may have run the call, no refusal says that it did not. */
function final(refusal: Refusal, mayHaveRun: boolean): Refusal {
  if (!mayHaveRun || refusal.outcome !== 'not-run') {
    return refusal;
  }
  return new Refusal('unknown', 502, refusal.reason, refusal.message);
}

function outOfTime(): Refusal {
  const message = 'no target could be found in time';
  return new Refusal(
    'not-run',
    503,
    'out_of_time',
    message,
    RETRY_SOON_SECONDS,
  );
}

function noTarget(): Refusal {
  const message = 'no target serves this now';
  return new Refusal('not-run', 503, 'no_target', message, RETRY_SOON_SECONDS);
}

function tornAnswer(): Refusal {
  return new Refusal('unknown', 502, 'torn_answer', 'the answer broke off');
}
