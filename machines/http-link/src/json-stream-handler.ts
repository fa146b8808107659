import type http from 'node:http';
import {Fault, toFault} from '@marigoldspur/faults';
import type {JsonHandlerOptions} from './json-exchange.js';
import type {JsonStreamAnswer} from './json-stream.js';
import {LineReader} from './line-reader.js';

const HTTP_OK = 200;

/** A handler of requests that carry JSON messages, one a line; each waits for the answer to the one before. */
export function jsonStreamHandler(options: JsonHandlerOptions) {
  return (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    // A request that ends early gives up its socket, so this is taken before.
    const {socket} = request;
    const reader = new LineReader(options.maxBodyBytes);
    let answering = false;
    const take = async (line: string) => {
      const text = JSON.stringify(await answerTo(line, options));
      answering = false;
      if (!response.destroyed) {
        response.write(`${text}\n`);
      }
    };
    response.on('error', () => socket.destroy());
    response.writeHead(HTTP_OK, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    request.on('error', () => socket.destroy());
    request.on('end', () => response.end());
    request.on('data', (piece: Buffer) => {
      const lines = linesOf(reader, piece);
      if (lines === undefined || lines.length > (answering ? 0 : 1)) {
        socket.destroy();
        return;
      }
      if (lines.length > 0) {
        answering = true;
        void take(lines[0]);
      }
    });
  };
}

/** Undefined where a line is too long. */
function linesOf(reader: LineReader, piece: Buffer): string[] | undefined {
  try {
    return reader.push(piece);
  } catch {
    return undefined;
  }
}

async function answerTo(
  line: string,
  options: JsonHandlerOptions,
): Promise<JsonStreamAnswer> {
  try {
    return {answer: await options.answer(parse(line))};
  } catch (thrown) {
    const fault = toFault(thrown);
    return {fault: fault.code, message: fault.message};
  }
}

function parse(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch (thrown) {
    throw new Fault('INVALID_INPUT', 'the message is not JSON', {
      cause: thrown,
    });
  }
}
