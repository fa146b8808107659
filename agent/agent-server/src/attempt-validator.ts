import type {IncomingMessage} from 'node:http';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import type {Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {Result} from 'true-myth';
import {attemptId} from './attempt-headers.js';
import {readBodyModel} from './body-model.js';
import type {EngineComponents} from './engine-components.js';
import {notRunRefusal} from './not-run-refusal.js';
import {SeenAttempts} from './seen-attempts.js';

/** What the checks of attempts work with. */
export interface AttemptValidatorOptions {
  readonly target: string;
  readonly events: EventLog;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Bytes of all bodies held at once. */
  readonly maxHeldBytes: number;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
  /** Whether a plain service answers its health check. */
  readonly serviceHealthy?: () => boolean;
}

/** What a desk holds at the moment of a check. */
export interface HandlerLoad {
  readonly closed: boolean;
  readonly heldBytes: number;
}

const ENGINE_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const STATUS_TOO_LARGE = 413;

/** Checks attempts before anything of them goes to the target. */
export class AttemptValidator {
  private readonly seen = new SeenAttempts();

  constructor(private readonly options: AttemptValidatorOptions) {}

  /** What speaks against an attempt before its body is read. */
  checkHeaders(
    hop: Hop,
    request: IncomingMessage,
    expects: boolean,
    load: HandlerLoad,
  ): Refusal | undefined {
    const {engine, maxBodyBytes, maxHeldBytes, target} = this.options;
    const bytes = Number(request.headers['content-length'] ?? 0);
    if (hop.target !== target) {
      return notRunRefusal(421, 'wrong_target', `this is target ${target}`);
    }
    if ((engine === undefined) !== (hop.model === undefined)) {
      return notRunRefusal(400, 'wrong_kind', 'the target is of another kind');
    }
    if (engine !== undefined && !ENGINE_PATHS.has(request.url ?? '')) {
      return notRunRefusal(404, 'unknown_path', 'no such path on an engine');
    }
    // A body that waits to be continued is held only once it is admitted.
    if (request.headers['transfer-encoding'] !== undefined && !expects) {
      return notRunRefusal(
        411,
        'length_required',
        'an attempt states its length',
      );
    }
    if (bytes > maxBodyBytes) {
      return notRunRefusal(
        STATUS_TOO_LARGE,
        'too_large',
        'the body is too large',
      );
    }
    if (load.closed || engine?.watch.state.leaving === true) {
      return notRunRefusal(503, 'target_leaving', 'the target is leaving');
    }
    if (!this.isHealthy()) {
      return notRunRefusal(503, 'target_down', 'the target does not answer');
    }
    // One body alone always fits, or it could never be sent.
    if (load.heldBytes > maxHeldBytes && load.heldBytes > bytes) {
      return notRunRefusal(
        503,
        'agent_full',
        'the agent holds too many bodies',
      );
    }
    return this.repeated(hop);
  }

  /** Reads a body and checks that it names the adapter of the hop. */
  async readCheckedBody(
    hop: Hop,
    request: IncomingMessage,
    deadlineMs: number,
  ): Promise<Result<Buffer, Refusal>> {
    const leftMs = Math.max(0, deadlineMs - performance.now());
    const late = setTimeout(() => request.destroy(), leftMs);
    const body = await readBody(request, this.options.maxBodyBytes);
    clearTimeout(late);
    if (body.isErr) {
      return Result.err(notRunRefusal(400, 'bad_body', body.error.message));
    }
    if (hop.model === undefined) {
      return Result.ok(body.value);
    }
    const model = readBodyModel(body.value);
    if (model.isErr) {
      return Result.err(notRunRefusal(400, 'bad_body', model.error));
    }
    return model.value === formatModel(hop.model)
      ? Result.ok(body.value)
      : Result.err(
          notRunRefusal(400, 'model_mismatch', 'body and header differ'),
        );
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
}
