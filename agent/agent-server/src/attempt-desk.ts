import type {IncomingMessage, ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {peerGone} from '@marigoldspur/bounded-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {formatFindings, Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS, parseHop, type Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import type {AdapterHost} from './adapter-host.js';
import type {AgentMetrics} from './agent-metrics.js';
import {findAdapter} from './find-adapter.js';
import {refuseAttempt} from './attempt-answer.js';
import {attemptId} from './attempt-headers.js';
import {readBodyModel} from './body-model.js';
import {notRun} from './not-run.js';
import type {LeaseKeeper} from './lease-keeper.js';
import {SeenAttempts} from './seen-attempts.js';
import {TargetForwarder} from './target-forwarder.js';
import type {TargetWatch} from './target-watch.js';

/** The parts of an agent that only an engine's has. */
export interface EngineParts {
  readonly host: AdapterHost;
  readonly watch: TargetWatch;
  readonly keeper: LeaseKeeper;
}

/** What an attempt desk works with. */
export interface AttemptDeskOptions {
  readonly target: string;
  readonly targetUrl: string;
  readonly customer: string;
  readonly service: string;
  readonly settings: Pick<SettingsFollower, 'settings'>;
  /** Is told the settings revision of an entry, and the entry's URL. */
  readonly heard?: (revision: number, url: string | undefined) => void;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Bytes of all bodies held at once. */
  readonly maxHeldBytes: number;
  /** Absent for a plain service. */
  readonly engine?: EngineParts;
  /** Whether a plain service answers its health check. */
  readonly serviceHealthy?: () => boolean;
  /** Whether control said that a newer agent serves the target. */
  readonly superseded?: () => boolean;
}

const ENGINE_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const STATUS_TOO_LARGE = 413;

/** Takes attempts from entries, checks them and forwards them to the target. */
export class AttemptDesk {
  private readonly seen = new SeenAttempts();
  private readonly forwarder: TargetForwarder;
  private running = 0;
  private heldBytes = 0;
  private closed = false;

  constructor(private readonly options: AttemptDeskOptions) {
    this.forwarder = new TargetForwarder(options);
  }

  /** Attempts that run or wait here. */
  get load(): number {
    return this.running;
  }

  /** Refuses attempts from now on. */
  close(): void {
    this.closed = true;
  }

  /**
   * Takes one attempt. One that `expects` to be told to continue is told so only once
   * it is checked and its adapter pinned; until its body comes, it has not run.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expects = false,
  ): Promise<void> {
    this.running += 1;
    try {
      await this.attempt(request, response, expects);
    } finally {
      this.running -= 1;
    }
  }

  private async attempt(
    request: IncomingMessage,
    response: ServerResponse,
    expects: boolean,
  ): Promise<void> {
    const startedAt = performance.now();
    const hop = parseHop(request.headers);
    if (hop.isErr) {
      const message = formatFindings(hop.error);
      this.refuse(undefined, response, notRun(400, 'bad_hop', message));
      return;
    }
    const {request: id, attempt, budgetMs, revision, origin} = hop.value;
    this.options.heard?.(revision, origin);
    const inForce = this.options.settings.settings.revision;
    response.setHeader(HOP_HEADERS.revision, String(inForce));
    this.options.events.record('attempt-received', {attempt}, id);
    const gone = peerGone(response);
    const bytes = Number(request.headers['content-length'] ?? 0);
    this.heldBytes += bytes;
    try {
      const done = await this.run(hop.value, request, response, {
        expects,
        deadlineMs: startedAt + budgetMs,
        signal: gone,
      });
      if (done.isErr) {
        this.refuse(hop.value, response, done.error);
      }
    } finally {
      this.heldBytes -= bytes;
    }
  }

  private async run(
    hop: Hop,
    request: IncomingMessage,
    response: ServerResponse,
    options: {expects: boolean; deadlineMs: number; signal: AbortSignal},
  ): Promise<Result<void, Refusal>> {
    const {deadlineMs, expects, signal} = options;
    const refusal = this.preliminary(hop, request, expects);
    if (refusal !== undefined) {
      return Result.err(refusal);
    }
    let body = expects
      ? undefined
      : await this.takeBody(hop, request, deadlineMs);
    if (body?.isErr) {
      return Result.err(body.error);
    }
    const pin = await this.pin(hop, deadlineMs, signal);
    if (pin.isErr) {
      return Result.err(pin.error);
    }
    if (body === undefined) {
      response.writeContinue();
      body = await this.takeBody(hop, request, deadlineMs);
    }
    const late = body.isErr
      ? body.error
      : await this.lastCheck(hop, pin.value?.boot, deadlineMs, signal);
    if (late !== undefined || body.isErr) {
      pin.value?.pin.release(performance.now());
      return late === undefined ? Result.ok(undefined) : Result.err(late);
    }
    const unstated = request.headers['content-length'] === undefined;
    const bytes = unstated ? body.value.length : 0;
    this.heldBytes += bytes;
    await this.forwarder.forward({
      hop,
      request,
      body: body.value,
      response,
      deadlineMs,
      signal,
      pin: pin.value?.pin,
      boot: pin.value?.boot,
    });
    this.heldBytes -= bytes;
    return Result.ok(undefined);
  }

  /** What speaks against an attempt before its body is read. */
  private preliminary(
    hop: Hop,
    request: IncomingMessage,
    expects: boolean,
  ): Refusal | undefined {
    const {engine, maxBodyBytes, maxHeldBytes, target} = this.options;
    const bytes = Number(request.headers['content-length'] ?? 0);
    if (hop.target !== target) {
      return notRun(421, 'wrong_target', `this is target ${target}`);
    }
    if ((engine === undefined) !== (hop.model === undefined)) {
      return notRun(400, 'wrong_kind', 'the target is of another kind');
    }
    if (engine !== undefined && !ENGINE_PATHS.has(request.url ?? '')) {
      return notRun(404, 'unknown_path', 'no such path on an engine');
    }
    // A body that waits to be continued is held only once it is admitted.
    if (request.headers['transfer-encoding'] !== undefined && !expects) {
      return notRun(411, 'length_required', 'an attempt states its length');
    }
    if (bytes > maxBodyBytes) {
      return notRun(STATUS_TOO_LARGE, 'too_large', 'the body is too large');
    }
    if (this.closed || engine?.watch.state.leaving === true) {
      return notRun(503, 'target_leaving', 'the target is leaving');
    }
    if (!this.isHealthy()) {
      return notRun(503, 'target_down', 'the target does not answer');
    }
    if (this.heldBytes > maxHeldBytes) {
      return notRun(503, 'agent_full', 'the agent holds too many bodies');
    }
    return this.repeated(hop);
  }

  private isHealthy(): boolean {
    const {engine, serviceHealthy} = this.options;
    return engine?.watch.state.healthy ?? serviceHealthy?.() ?? true;
  }

  /** A repeated attempt may have run, so it is not called `not-run`. */
  private repeated(hop: Hop): Refusal | undefined {
    if (this.seen.add(attemptId(hop), performance.now())) {
      return undefined;
    }
    const {attempt, request} = hop;
    this.options.events.record('attempt-repeated', {attempt}, request);
    const message = 'the attempt came before and is not run again';
    return new Refusal('unknown', 409, 'repeated_attempt', message);
  }

  /** Reads a body and checks that it names the adapter of the hop. */
  private async takeBody(
    hop: Hop,
    request: IncomingMessage,
    deadlineMs: number,
  ): Promise<Result<Buffer, Refusal>> {
    const leftMs = Math.max(0, deadlineMs - performance.now());
    const late = setTimeout(() => request.destroy(), leftMs);
    const body = await readBody(request, this.options.maxBodyBytes);
    clearTimeout(late);
    if (body.isErr) {
      return Result.err(notRun(400, 'bad_body', body.error.message));
    }
    if (hop.model === undefined) {
      return Result.ok(body.value);
    }
    const model = readBodyModel(body.value);
    if (model.isErr) {
      return Result.err(notRun(400, 'bad_body', model.error));
    }
    return model.value === formatModel(hop.model)
      ? Result.ok(body.value)
      : Result.err(notRun(400, 'model_mismatch', 'body and header differ'));
  }

  /** Pins the attempt's adapter, with the boot that holds it; undefined for a plain service. */
  private async pin(
    hop: Hop,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<{pin: Pin; boot: string} | undefined, Refusal>> {
    const {engine} = this.options;
    if (engine === undefined || hop.model === undefined) {
      return Result.ok(undefined);
    }
    const found = await findAdapter(hop, hop.model, this.options);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const pin = await engine.host.acquire({
      ...found.value,
      model: formatModel(hop.model),
      priority: hop.priority,
      deadlineMs,
      signal,
    });
    return pin.map(held => ({pin: held, boot: engine.watch.state.boot}));
  }

  /** What speaks against forwarding at this moment. */
  private async lastCheck(
    hop: Hop,
    boot: string | undefined,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const {engine, events} = this.options;
    const mayForward =
      (await (engine?.keeper.mayForward() ?? true)) &&
      this.options.superseded?.() !== true;
    // After a pause of the process the end of the link is read in the next turn.
    await nextTurn();
    if (signal.aborted) {
      events.record('attempt-cancelled', {attempt: hop.attempt}, hop.request);
      return notRun(499, 'entry_gone', 'the entry went away');
    }
    if (!mayForward) {
      return notRun(503, 'no_lease', 'another agent may serve the target');
    }
    if (performance.now() >= deadlineMs) {
      return notRun(503, 'too_late', 'the time for the attempt is over');
    }
    return engine !== undefined && engine.watch.state.boot !== boot
      ? notRun(503, 'target_restarted', 'the engine restarted')
      : undefined;
  }

  private refuse(
    hop: Hop | undefined,
    response: ServerResponse,
    refusal: Refusal,
  ): void {
    const {reason, outcome} = refusal;
    this.options.metrics.attempts.inc({end: outcome});
    this.options.events.record(
      'attempt-refused',
      {attempt: hop?.attempt ?? 0, reason, outcome},
      hop?.request,
    );
    refuseAttempt(hop, response, refusal);
  }
}
