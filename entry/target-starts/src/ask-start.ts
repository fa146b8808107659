import http from 'node:http';
import {openRequest, readAnswer} from '@marigoldspur/http-link';

/** How a process at an address is asked when it started. */
export interface StartQuestion {
  /** Path of the question. */
  readonly path: string;
  /** Reads the start from the body of an answer, in Unix milliseconds; undefined if it states none. */
  readonly parse: (body: Buffer) => number | undefined;
}

const TIMEOUT_MS = 2_000;
const MAX_RESPONSE_BYTES = 1_048_576;
const STATUS_OK = 200;
/** Opens a new connection each time, since a kept one may lead to an earlier process. */
const HTTP_AGENT = new http.Agent({keepAlive: false});

/**
 * Asks the process at an address, `host:port`, when it started, in Unix milliseconds;
 * undefined if it does not answer in time.
 */
export function askStart(
  address: string,
  {parse, path}: StartQuestion,
): Promise<number | undefined> {
  return new Promise(resolve => {
    const request = openRequest({
      url: new URL(path, `http://${address}`),
      method: 'GET',
      headers: {},
      agent: HTTP_AGENT,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    request.on('error', () => resolve(undefined));
    request.on('response', response => {
      void readAnswer(response, MAX_RESPONSE_BYTES).then(body =>
        resolve(
          response.statusCode === STATUS_OK && body.isOk
            ? parse(body.value)
            : undefined,
        ),
      );
    });
    request.end();
  });
}
