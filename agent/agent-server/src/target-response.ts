import type {IncomingMessage} from 'node:http';
import {Refusal} from '@marigoldspur/faults';
import {
  findInvalidHead,
  framingOf,
  PacedReading,
  readAnswer,
  resumeMessage,
  type ChunkMeter,
} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {
  BOOT_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
} from '@marigoldspur/engine-client';
import {createResponseCheck, PassThroughCheck} from './response-check.js';
import {
  refuseAttempt,
  relayResponse,
  sendResponse,
} from './attempt-response.js';
import type {EngineComponents} from './engine-components.js';
import {unknownOutcomeRefusal, type AttemptEnd} from './attempt-end.js';
import {attemptId} from './attempt-headers.js';
import type {CheckedAttempt} from './checked-attempt.js';
import {notRunRefusal} from './not-run-refusal.js';

const MAX_ERROR_BYTES = 1_048_576;
const RETRY_AFTER_SECONDS = 1;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;

/** Options of a target response handler. */
export interface TargetResponseHandlerOptions {
  /** Counts the chunks of all responses of the target. */
  readonly chunkMeter: ChunkMeter;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
}

/** Handles a target's responses to forwarded attempts. */
export class TargetResponseHandler {
  constructor(private readonly options: TargetResponseHandlerOptions) {}

  /**
   * Relays a response, or refuses the attempt if the response cannot be
   * relayed.
   */
  handle(
    attempt: CheckedAttempt,
    targetResponse: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {chunkMeter} = this.options;
    const {hop, response} = attempt;
    const invalid = findInvalidHead(targetResponse);
    if (invalid !== undefined) {
      targetResponse.destroy();
      const refusal = unknownOutcomeRefusal(502, 'torn_answer', invalid);
      refuseAttempt(hop, response, refusal);
      return Promise.resolve('torn');
    }
    if (hop.model === undefined) {
      const check = new PassThroughCheck();
      return relayResponse(targetResponse, {hop, response, check, chunkMeter});
    }
    const model = formatModel(hop.model);
    if (targetResponse.statusCode !== STATUS_OK) {
      return this.handleError(attempt, model, targetResponse);
    }
    if (isCrossed(attempt, targetResponse)) {
      refuseCrossed(attempt, targetResponse);
      return Promise.resolve('crossed');
    }
    const resumableMs = resumeWindowMs(targetResponse);
    if (resumableMs > 0) {
      response.setHeader(HOP_HEADERS.resumable, String(resumableMs));
    }
    const check = createResponseCheck(targetResponse, model);
    return relayResponse(targetResponse, {hop, response, check, chunkMeter});
  }

  /**
   * Handles an error response of an engine: the adapter is not loaded, the
   * engine failed, or the request is invalid.
   */
  private async handleError(
    attempt: CheckedAttempt,
    model: string,
    targetResponse: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {hop, response} = attempt;
    const reading = this.paceReading(targetResponse);
    const body = await readAnswer(targetResponse, MAX_ERROR_BYTES);
    reading.cancel();
    if (body.isErr) {
      refuseAttempt(hop, response, tornResponse());
      return 'torn';
    }
    const status = targetResponse.statusCode ?? STATUS_SERVER_ERROR;
    if (status === STATUS_NOT_FOUND && isModelNotFound(body.value)) {
      this.handleModelNotFound(attempt, model, targetResponse);
      return 'not-held';
    }
    if (status >= STATUS_SERVER_ERROR) {
      refuseAttempt(hop, response, engineFailure(status));
      return 'failed';
    }
    if (framingOf(targetResponse, response.req.method ?? '') === 'close') {
      refuseAttempt(hop, response, tornResponse());
      return 'torn';
    }
    sendResponse(hop, targetResponse, body.value, response);
    return 'whole';
  }

  private paceReading(message: IncomingMessage): PacedReading {
    const reading = new PacedReading({
      message,
      isStream: false,
      chunkMeter: this.options.chunkMeter,
      onResume: () => resumeMessage(message),
    });
    message.on('data', (chunk: Buffer) =>
      reading.recordChunk(chunk, performance.now()),
    );
    return reading;
  }

  private handleModelNotFound(
    attempt: CheckedAttempt,
    model: string,
    targetResponse: IncomingMessage,
  ): void {
    const {engine} = this.options;
    if (isFromBoot(attempt, targetResponse)) {
      engine?.loader.distrust(model);
    } else {
      void engine?.monitor.check();
    }
    refuseAttempt(
      attempt.hop,
      attempt.response,
      notRunRefusal(
        503,
        'adapter_not_held',
        'the adapter is not loaded in the engine',
      ),
    );
  }
}

/**
 * Returns how long a stream can be resumed after a disconnect, in milliseconds;
 * 0 if it cannot be resumed.
 */
export function resumeWindowMs(targetResponse: IncomingMessage): number {
  const text = String(targetResponse.headers[RESUME_HEADER] ?? '');
  const type = targetResponse.headers['content-type'] ?? '';
  const isStream = type.startsWith('text/event-stream');
  return isStream && /^\d{1,9}$/.test(text) ? Number(text) : 0;
}

/**
 * Whether a response belongs to another request, or was sent by the engine
 * under another boot ID.
 */
export function isCrossed(
  attempt: Pick<CheckedAttempt, 'hop' | 'boot'>,
  targetResponse: IncomingMessage,
): boolean {
  const id = targetResponse.headers[REQUEST_ID_HEADER];
  const hasOtherId = id !== undefined && id !== attemptId(attempt.hop);
  return hasOtherId || !isFromBoot(attempt, targetResponse);
}

/**
 * Discards a response that belongs to another request or boot, and refuses the
 * attempt.
 */
export function refuseCrossed(
  {hop, response}: Pick<CheckedAttempt, 'hop' | 'response'>,
  targetResponse: IncomingMessage,
): void {
  targetResponse.destroy();
  const message = 'the response belongs to another request or boot';
  refuseAttempt(
    hop,
    response,
    unknownOutcomeRefusal(502, 'crossed_answer', message),
  );
}

function isFromBoot(
  attempt: Pick<CheckedAttempt, 'boot'>,
  targetResponse: IncomingMessage,
): boolean {
  const boot = targetResponse.headers[BOOT_HEADER];
  const areKnown = boot !== undefined && attempt.boot !== undefined;
  return !areKnown || boot === attempt.boot;
}

/** Whether an engine's error reports that the model is not loaded. */
function isModelNotFound(body: Buffer): boolean {
  try {
    const {error} = JSON.parse(body.toString('utf8')) as {
      error?: {code?: unknown};
    };
    return error?.code === 'model_not_found';
  } catch {
    return false;
  }
}

/** The refusal for an error response that is, or may be, incomplete. */
function tornResponse(): Refusal {
  const message = 'the response of the engine is incomplete';
  return unknownOutcomeRefusal(502, 'torn_answer', message);
}

function engineFailure(status: number): Refusal {
  const message = `the engine responded with status ${status}`;
  const reason = 'target_failed';
  return new Refusal('failed', 502, reason, message, RETRY_AFTER_SECONDS);
}
