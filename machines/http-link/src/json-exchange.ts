import type http from 'node:http';
import {Fault, toFault, type FaultCode} from '@marigoldspur/faults';
import {discardRest, type BodyFailure} from '@marigoldspur/request-bodies';
import {createUnlimitedMemory, type MessageMemory} from './message-memory.js';
import {onResponseEnd} from './on-response-end.js';
import {openRequest} from './open-request.js';
import {readAnswer} from './read-answer.js';

/** A JSON message to another process, which answers with a JSON message. */
export interface JsonCall {
  readonly url: URL;
  readonly body: unknown;
  readonly agent: http.Agent;
  readonly signal: AbortSignal;
  /** Maximum size of the answer, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Options of a handler of JSON messages. */
export interface JsonHandlerOptions {
  /** Maximum size of a message, in bytes. */
  readonly maxBodyBytes: number;
  /** Answers a message. A thrown `Fault` is sent to the caller. */
  readonly answer: (message: unknown) => Promise<unknown>;
  /** Limits the memory for messages and answers; no limit if absent. */
  readonly memory?: MessageMemory;
}

const RETRY_AFTER_SECONDS = 1;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/**
 * Sends a JSON message and resolves to the answer. Throws the `Fault` that the other process
 * answers with, `UNAVAILABLE` if it cannot be reached, `INVALID_INPUT` if the answer is not
 * JSON, or the fault of `readBody`.
 */
export async function exchangeJson(call: JsonCall): Promise<unknown> {
  const text = JSON.stringify(call.body);
  const response = await sendRequest(call, text);
  const body = await readAnswer(response, call.maxAnswerBytes);
  if (body.isErr) {
    throw body.error;
  }
  const answer = parseJson(body.value);
  if (response.statusCode !== STATUS_OK) {
    throw parseFault(answer, response.statusCode);
  }
  return answer;
}

/**
 * Creates a handler of requests that each contain one JSON message. A message or an answer that
 * the process lacks the memory for is refused as `UNAVAILABLE`, with the time to come back.
 */
export function createJsonHandler(options: JsonHandlerOptions) {
  const {bodies, memory} = options.memory ?? createUnlimitedMemory();
  return async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const body = await bodies.read({request, maxBytes: options.maxBodyBytes});
    if (body.isErr) {
      refuse(response, body.error);
      discardRest(request, true);
      return;
    }
    const answer = await answerText(body.value.pieces, options).finally(() =>
      body.value.release(),
    );
    const reservation = memory.reserve(
      'answer',
      Buffer.byteLength(answer.text),
    );
    if (reservation === undefined) {
      refuse(response, {message: 'the process lacks the memory to answer'});
      return;
    }
    onResponseEnd(response, () => reservation.release());
    sendReply(response, answer.status, answer.text);
  };
}

async function answerText(
  pieces: readonly Buffer[],
  options: JsonHandlerOptions,
): Promise<{readonly status: number; readonly text: string}> {
  try {
    const answer = await options.answer(parseJson(joinPieces(pieces)));
    return {status: STATUS_OK, text: JSON.stringify(answer)};
  } catch (thrown) {
    const text = JSON.stringify(faultMessage(toFault(thrown)));
    return {status: STATUS_UNAVAILABLE, text};
  }
}

/** Refuses a message that was not read, or whose answer there is no memory for. */
function refuse(
  response: http.ServerResponse,
  {code, message, retryAfterSeconds}: Partial<BodyFailure>,
): void {
  const fault = new Fault(
    code === 'TOO_LARGE'
      ? code
      : code === 'TORN'
        ? 'TORN_ANSWER'
        : 'UNAVAILABLE',
    message ?? '',
  );
  response.setHeader('retry-after', retryAfterSeconds ?? RETRY_AFTER_SECONDS);
  const text = JSON.stringify(faultMessage(fault));
  sendReply(response, STATUS_UNAVAILABLE, text);
}

function sendRequest(
  call: JsonCall,
  text: string,
): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const request = openRequest({
      url: call.url,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      },
      agent: call.agent,
      signal: call.signal,
    });
    request.on('response', resolve);
    request.on('error', error =>
      reject(new Fault('UNAVAILABLE', error.message, {cause: error})),
    );
    request.end(text);
  });
}

function sendReply(
  response: http.ServerResponse,
  status: number,
  text: string,
): void {
  response.sendDate = false;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function joinPieces(pieces: readonly Buffer[]): Buffer {
  return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (thrown) {
    throw new Fault('INVALID_INPUT', 'the message is not JSON', {
      cause: thrown,
    });
  }
}

function faultMessage(fault: Fault) {
  return {fault: fault.code, message: fault.message};
}

function parseFault(answer: unknown, status: number | undefined): Fault {
  const {fault, message} = (answer ?? {}) as {
    fault?: unknown;
    message?: unknown;
  };
  return typeof fault === 'string' && typeof message === 'string'
    ? new Fault(fault as FaultCode, message)
    : new Fault(
        'UNAVAILABLE',
        `the server answered with HTTP status ${status}`,
      );
}
