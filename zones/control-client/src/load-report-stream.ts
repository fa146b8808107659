import http from 'node:http';
import {createGunzip} from 'node:zlib';
import {createParser} from 'eventsource-parser';
import {openRequest} from '@marigoldspur/http-link';
import {
  LOAD_CHANGES_SCHEMA,
  LOAD_REPORTS_PATH,
  type LoadChanges,
} from '@marigoldspur/messages';
import {parseMessage} from './parse-message.js';

/** Options of a load report stream. */
export interface LoadReportStreamOptions {
  /** Base URL of the relay. */
  readonly url: string;
  readonly agent: http.Agent;
  readonly signal: AbortSignal;
  readonly onChanges: (changes: LoadChanges) => void;
}

const STATUS_OK = 200;
/** Time without data after which a stream ends, in milliseconds; a relay sends a message each second. */
const IDLE_TIMEOUT_MS = 2_500;
const MAX_MESSAGE_CHARACTERS = 8_388_608;

/** Follows the load reports of a relay; resolves when the stream has ended for any reason. */
export function followLoadReports(
  stream: LoadReportStreamOptions,
): Promise<void> {
  return new Promise(resolve => {
    const request = openRequest({
      url: new URL(LOAD_REPORTS_PATH, stream.url),
      method: 'GET',
      headers: {accept: 'text/event-stream'},
      agent: stream.agent,
      signal: stream.signal,
    });
    const end = () => {
      clearTimeout(timer);
      request.destroy();
      resolve();
    };
    const timer = setTimeout(end, IDLE_TIMEOUT_MS);
    const parser = createParser({
      maxBufferSize: MAX_MESSAGE_CHARACTERS,
      onError: end,
      onEvent: event => {
        timer.refresh();
        stream.onChanges(
          parseMessage(LOAD_CHANGES_SCHEMA, JSON.parse(event.data)),
        );
      },
    });
    const gunzip = createGunzip();
    gunzip.setEncoding('utf8');
    gunzip.on('data', (text: string) => {
      try {
        parser.feed(text);
      } catch {
        // A relay that sends invalid load reports is not followed further.
        end();
      }
    });
    gunzip.on('error', end);
    request.on('error', end);
    request.on('close', end);
    request.on('response', response => {
      if (response.statusCode === STATUS_OK) {
        response.on('error', end);
        response.pipe(gunzip);
      } else {
        end();
      }
    });
    request.end();
  });
}
