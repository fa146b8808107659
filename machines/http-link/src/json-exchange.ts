import type http from 'node:http';
import {Fault, toFault, type FaultCode} from '@marigoldspur/faults';
import {openRequest} from './open-request.js';
import {readAnswer} from './read-answer.js';
import {readBody} from './read-body.js';

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
}

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

/** Creates a handler of requests that each contain one JSON message. */
export function createJsonHandler(options: JsonHandlerOptions) {
  return async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const body = await readBody(request, options.maxBodyBytes);
    if (body.isErr) {
      response.setHeader('connection', 'close');
      sendReply(response, STATUS_UNAVAILABLE, faultMessage(body.error));
      return;
    }
    try {
      sendReply(
        response,
        STATUS_OK,
        await options.answer(parseJson(body.value)),
      );
    } catch (thrown) {
      sendReply(response, STATUS_UNAVAILABLE, faultMessage(toFault(thrown)));
    }
  };
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
  message: unknown,
): void {
  const text = JSON.stringify(message);
  response.sendDate = false;
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
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
