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

/** A stream of load reports to open. */
export interface LoadReportStreamOptions {
  /** Base URL of the relay. */
  readonly url: string;
  readonly agent: http.Agent;
  readonly signal: AbortSignal;
  readonly onChanges: (changes: LoadChanges) => void;
}

const HTTP_OK = 200;
/** Longest silence of a stream, in milliseconds; a relay sends a message each second. */
const STALL_MS = 2_500;
const MAX_MESSAGE_CHARACTERS = 8_388_608;

/** Follows the load reports that a relay hears; resolves when the stream has ended, for whatever reason. */
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
    const timer = setTimeout(end, STALL_MS);
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
        // A relay that sends what is no load report is of no use.
        end();
      }
    });
    gunzip.on('error', end);
    request.on('error', end);
    request.on('close', end);
    request.on('response', response => {
      if (response.statusCode === HTTP_OK) {
        response.on('error', end);
        response.pipe(gunzip);
      } else {
        end();
      }
    });
    request.end();
  });
}
