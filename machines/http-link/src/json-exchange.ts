import type http from 'node:http';
import {Fault, toFault, type FaultCode} from '@marigoldspur/faults';
import {openRequest} from './open-request.js';
import {readBody} from './read-body.js';

/** A JSON message to another process, which answers with one. */
export interface JsonCall {
  readonly url: URL;
  readonly body: unknown;
  readonly agent: http.Agent;
  readonly signal: AbortSignal;
  /** Longest answer, in bytes. */
  readonly maxAnswerBytes: number;
}

/** Options of a handler of JSON messages. */
export interface JsonHandlerOptions {
  /** Longest message, in bytes. */
  readonly maxBodyBytes: number;
  /** Answers a message; a `Fault` that it throws goes to the caller. */
  readonly answer: (message: unknown) => Promise<unknown>;
}

const HTTP_OK = 200;
const HTTP_FAULT = 503;

/** Sends a JSON message and resolves to the answer; throws the `Fault` of the other side. */
export async function exchangeJson(call: JsonCall): Promise<unknown> {
  const text = JSON.stringify(call.body);
  const response = await send(call, text);
  const body = await readBody(response, call.maxAnswerBytes);
  if (body.isErr) {
    response.destroy();
    throw body.error;
  }
  const answer = parse(body.value);
  if (response.statusCode !== HTTP_OK) {
    throw faultOf(answer, response.statusCode);
  }
  return answer;
}

/** A handler of requests that carry one JSON message each. */
export function jsonHandler(options: JsonHandlerOptions) {
  return async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const body = await readBody(request, options.maxBodyBytes);
    if (body.isErr) {
      response.setHeader('connection', 'close');
      reply(response, HTTP_FAULT, messageOf(body.error));
      return;
    }
    try {
      reply(response, HTTP_OK, await options.answer(parse(body.value)));
    } catch (thrown) {
      reply(response, HTTP_FAULT, messageOf(toFault(thrown)));
    }
  };
}

function send(call: JsonCall, text: string): Promise<http.IncomingMessage> {
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

function reply(
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

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (thrown) {
    throw new Fault('INVALID_INPUT', 'the message is not JSON', {
      cause: thrown,
    });
  }
}

function messageOf(fault: Fault) {
  return {fault: fault.code, message: fault.message};
}

function faultOf(answer: unknown, status: number | undefined): Fault {
  const {fault, message} = (answer ?? {}) as {
    fault?: unknown;
    message?: unknown;
  };
  return typeof fault === 'string' && typeof message === 'string'
    ? new Fault(fault as FaultCode, message)
    : new Fault('UNAVAILABLE', `HTTP status ${status}`);
}
