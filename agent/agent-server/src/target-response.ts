import type {IncomingMessage} from 'node:http';
import {Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import {
  BOOT_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
} from '@marigoldspur/target-client';
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
const RETRY_SOON_SECONDS = 1;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_SERVER_ERROR = 500;

/** Takes answers of a target to forwarded attempts. */
export class TargetResponseHandler {
  /** `engine` is absent for a plain service. */
  constructor(private readonly engine: EngineComponents | undefined) {}

  /** Relays an answer, or refuses the attempt where the answer can't be relayed. */
  handle(
    attempt: CheckedAttempt,
    answer: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {hop, response} = attempt;
    if (hop.model === undefined) {
      return relayResponse(hop, answer, response, new PassThroughCheck());
    }
    const model = formatModel(hop.model);
    if (answer.statusCode !== STATUS_OK) {
      return this.receiveError(attempt, model, answer);
    }
    if (isCrossed(attempt, answer)) {
      refuseCrossed(attempt, answer);
      return Promise.resolve('crossed');
    }
    const resumableMs = resumeWindowMs(answer);
    if (resumableMs > 0) {
      response.setHeader(HOP_HEADERS.resumable, String(resumableMs));
    }
    const check = createResponseCheck(answer, model);
    return relayResponse(hop, answer, response, check);
  }

  /** Takes an engine's error: not held, a failure of the engine, or the caller's mistake. */
  private async receiveError(
    attempt: CheckedAttempt,
    model: string,
    answer: IncomingMessage,
  ): Promise<AttemptEnd> {
    const {hop, response} = attempt;
    const body = await readBody(answer, MAX_ERROR_BYTES);
    if (body.isErr) {
      answer.destroy();
      const torn = unknownOutcomeRefusal(502, 'torn_answer', 'torn answer');
      refuseAttempt(hop, response, torn);
      return 'torn';
    }
    const status = answer.statusCode ?? STATUS_SERVER_ERROR;
    if (status === STATUS_NOT_FOUND && isNotHeld(body.value)) {
      this.takeNotHeld(attempt, model, answer);
      return 'not-held';
    }
    if (status >= STATUS_SERVER_ERROR) {
      refuseAttempt(hop, response, failed(status));
      return 'failed';
    }
    sendResponse(hop, answer, body.value, response);
    return 'whole';
  }

  private takeNotHeld(
    attempt: CheckedAttempt,
    model: string,
    answer: IncomingMessage,
  ): void {
    if (isOfBoot(attempt, answer)) {
      this.engine?.host.distrust(model);
    } else {
      void this.engine?.watch.check();
    }
    refuseAttempt(
      attempt.hop,
      attempt.response,
      notRunRefusal(
        503,
        'adapter_not_held',
        'the engine does not hold the adapter',
      ),
    );
  }
}

/** How long a stream can be resumed once broken, in milliseconds; 0 for not at all. */
export function resumeWindowMs(answer: IncomingMessage): number {
  const text = String(answer.headers[RESUME_HEADER] ?? '');
  const type = answer.headers['content-type'] ?? '';
  const streamed = type.startsWith('text/event-stream');
  return streamed && /^\d{1,9}$/.test(text) ? Number(text) : 0;
}

/** Whether an answer is of another request or boot than its attempt. */
export function isCrossed(
  attempt: Pick<CheckedAttempt, 'hop' | 'boot'>,
  answer: IncomingMessage,
): boolean {
  const id = answer.headers[REQUEST_ID_HEADER];
  const otherId = id !== undefined && id !== attemptId(attempt.hop);
  return otherId || !isOfBoot(attempt, answer);
}

/** Drops a crossed answer and refuses its attempt. */
export function refuseCrossed(
  {hop, response}: Pick<CheckedAttempt, 'hop' | 'response'>,
  answer: IncomingMessage,
): void {
  answer.destroy();
  const message = 'the answer is of another request or boot';
  refuseAttempt(
    hop,
    response,
    unknownOutcomeRefusal(502, 'crossed_answer', message),
  );
}

function isOfBoot(
  attempt: Pick<CheckedAttempt, 'boot'>,
  answer: IncomingMessage,
): boolean {
  const boot = answer.headers[BOOT_HEADER];
  const known = boot !== undefined && attempt.boot !== undefined;
  return !known || boot === attempt.boot;
}

/** Whether an engine's error says that it does not hold the model. */
function isNotHeld(body: Buffer): boolean {
  try {
    const {error} = JSON.parse(body.toString('utf8')) as {
      error?: {code?: unknown};
    };
    return error?.code === 'model_not_found';
  } catch {
    return false;
  }
}

function failed(status: number): Refusal {
  const message = `the engine answered with status ${status}`;
  const reason = 'target_failed';
  return new Refusal('failed', 502, reason, message, RETRY_SOON_SECONDS);
}
