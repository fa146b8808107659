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
import {notRunRefusal, targetLeavingRefusal} from './not-run-refusal.js';
import {SeenAttempts} from './seen-attempts.js';

/** Options of an attempt validator. */
export interface AttemptValidatorOptions {
  readonly target: string;
  readonly events: EventLog;
  /** Maximum size of a body, in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum total size of buffered bodies, in bytes. */
  readonly maxHeldBytes: number;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
  /** Whether a plain service passes its health check. */
  readonly isServiceHealthy?: () => boolean;
}

/** State of the attempt handler at the time of a check. */
export interface HandlerLoad {
  readonly isClosed: boolean;
  readonly heldBytes: number;
}

const ENGINE_PATHS = new Set(['/v1/chat/completions', '/v1/completions']);
const STATUS_TOO_LARGE = 413;

/** Validates attempts before any part of them is sent to the target. */
export class AttemptValidator {
  private readonly seenAttempts = new SeenAttempts();

  constructor(private readonly options: AttemptValidatorOptions) {}

  /**
   * Returns a refusal if an attempt cannot be accepted, before its body is
   * read.
   */
  checkHeaders(
    hop: Hop,
    request: IncomingMessage,
    expectsContinue: boolean,
    load: HandlerLoad,
  ): Refusal | undefined {
    const {engine, maxBodyBytes, maxHeldBytes, target} = this.options;
    const bytes = Number(request.headers['content-length'] ?? 0);
    if (hop.target !== target) {
      return notRunRefusal(421, 'wrong_target', `this is target ${target}`);
    }
    if ((engine === undefined) !== (hop.model === undefined)) {
      return notRunRefusal(
        400,
        'wrong_kind',
        'the attempt does not match the kind of the target',
      );
    }
    if (engine !== undefined && !ENGINE_PATHS.has(request.url ?? '')) {
      return notRunRefusal(
        404,
        'unknown_path',
        'the path is not supported by an engine',
      );
    }
    // With `100 Continue` the body is sent only after the attempt is admitted.
    if (
      request.headers['transfer-encoding'] !== undefined &&
      !expectsContinue
    ) {
      return notRunRefusal(
        411,
        'length_required',
        'the attempt must have a content-length header',
      );
    }
    if (bytes > maxBodyBytes) {
      return notRunRefusal(
        STATUS_TOO_LARGE,
        'too_large',
        'the body is too large',
      );
    }
    if (load.isClosed || engine?.monitor.state.leaving === true) {
      return targetLeavingRefusal();
    }
    if (!this.isHealthy()) {
      return notRunRefusal(503, 'target_down', 'the target is not healthy');
    }
    // A single body is always accepted, because otherwise a large one could
    // never be sent.
    if (load.heldBytes > maxHeldBytes && load.heldBytes > bytes) {
      return notRunRefusal(
        503,
        'agent_full',
        'the limit of buffered request bodies is reached',
      );
    }
    return this.checkRepeated(hop);
  }

  /** Reads a body and checks that it names the same model as the headers. */
  async readCheckedBody(
    hop: Hop,
    request: IncomingMessage,
    deadlineMs: number,
  ): Promise<Result<Buffer, Refusal>> {
    const remainingMs = Math.max(0, deadlineMs - performance.now());
    const timer = setTimeout(() => request.destroy(), remainingMs);
    const body = await readBody(request, this.options.maxBodyBytes);
    clearTimeout(timer);
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
          notRunRefusal(
            400,
            'model_mismatch',
            'the body and the header name different models',
          ),
        );
  }

  private isHealthy(): boolean {
    const {engine, isServiceHealthy} = this.options;
    return engine?.monitor.state.healthy ?? isServiceHealthy?.() ?? true;
  }

  /**
   * Refuses a repeated attempt with an unknown outcome, because it may have run
   * before.
   */
  private checkRepeated(hop: Hop): Refusal | undefined {
    if (this.seenAttempts.add(attemptId(hop), performance.now())) {
      return undefined;
    }
    const {attempt, request} = hop;
    this.options.events.record('attempt-repeated', {attempt}, request);
    const message = 'the attempt was received before and is not run again';
    return new Refusal('unknown', 409, 'repeated_attempt', message);
  }
}
