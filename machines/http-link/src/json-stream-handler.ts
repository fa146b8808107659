import type http from 'node:http';
import {Fault, toFault} from '@marigoldspur/faults';
import type {JsonHandlerOptions} from './json-exchange.js';
import type {JsonStreamAnswer} from './json-stream.js';
import {LineReader} from './line-reader.js';
import {createUnlimitedMemory} from './message-memory.js';
import {onResponseEnd} from './on-response-end.js';

const STATUS_OK = 200;

/**
 * Creates a handler of requests that contain one JSON message per line. A message that is too
 * long, needs more memory than there is, or is sent before the answer to the previous one,
 * closes the connection.
 */
export function createJsonStreamHandler(options: JsonHandlerOptions) {
  const {memory} = options.memory ?? createUnlimitedMemory();
  return (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    // A request that ends early drops its reference to the socket, so keep one here.
    const {socket} = request;
    const reservation = memory.reserve('message', 0);
    const reader = new LineReader(options.maxBodyBytes, reservation);
    let isAnswering = false;
    const answerNext = async (line: string) => {
      const text = JSON.stringify(await answerLine(line, options));
      isAnswering = false;
      if (!response.destroyed) {
        response.write(`${text}\n`);
      }
    };
    onResponseEnd(response, () => reservation?.release());
    response.on('error', () => socket.destroy());
    response.writeHead(STATUS_OK, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    request.on('error', () => socket.destroy());
    request.on('end', () => response.end());
    request.on('data', (chunk: Buffer) => {
      const lines = readLines(reader, chunk);
      if (lines === undefined || lines.length > (isAnswering ? 0 : 1)) {
        socket.destroy();
        return;
      }
      if (lines.length > 0) {
        isAnswering = true;
        void answerNext(lines[0]);
      }
    });
  };
}

/** Returns the completed lines, or undefined if a line is too long. */
function readLines(reader: LineReader, chunk: Buffer): string[] | undefined {
  try {
    return reader.push(chunk);
  } catch {
    return undefined;
  }
}

async function answerLine(
  line: string,
  options: JsonHandlerOptions,
): Promise<JsonStreamAnswer> {
  try {
    return {answer: await options.answer(parseJson(line))};
  } catch (thrown) {
    const fault = toFault(thrown);
    return {fault: fault.code, message: fault.message};
  }
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch (thrown) {
    throw new Fault('INVALID_INPUT', 'the message is not JSON', {
      cause: thrown,
    });
  }
}
