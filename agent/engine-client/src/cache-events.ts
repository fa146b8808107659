import type http from 'node:http';
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import {Fault} from '@marigoldspur/faults';
import {limitReadRate, openRequest} from '@marigoldspur/http-link';
import {LeakyBucket} from '@marigoldspur/request-bodies';

const BOOT_SCHEMA = z.string().regex(/^\S{1,64}$/);
const BLOCKS_SCHEMA = z.array(z.string().min(1).max(128));
const EVENT_HEADER = {
  /** Boot ID of the engine. */
  boot: BOOT_SCHEMA,
  /**
   * Sequence number of the event within the boot. A gap means that an event was
   * lost.
   */
  sequence: z.int().min(0),
};

/**
 * An event of an engine's prefix cache. Block names are opaque identifiers
 * assigned by the engine.
 */
export const CACHE_EVENT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    ...EVENT_HEADER,
    kind: z.literal('stored'),
    /** ID of the request at the engine. */
    request: z.string(),
    /** All blocks of the request's prompt, in order. */
    blocks: BLOCKS_SCHEMA,
  }),
  z.object({
    ...EVENT_HEADER,
    kind: z.literal('removed'),
    blocks: BLOCKS_SCHEMA,
  }),
  z.object({...EVENT_HEADER, kind: z.literal('cleared')}),
]);

/** An event of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof CACHE_EVENT_SCHEMA>;

/** Options of a subscription to the cache events of an engine. */
export interface FollowCacheOptions {
  readonly signal: AbortSignal;
  readonly onEvent: (event: CacheEvent) => void;
}

const CACHE_EVENTS_PATH = '/v1/cache/events';
const MAX_EVENT_CHARACTERS = 1_048_576;
/** A stream without data for this long may be broken and is reopened. */
const IDLE_TIMEOUT_MS = 60_000;
/** What a stream may bring; an engine that serves 100 requests a second writes some 300 KB of events a second. */
const READ_RATE = {burstBytes: 4_194_304, bytesPerSecond: 1_048_576};
/** Lines that belong to no event; the parser creates an error for each, which takes as long as many bytes. */
const INVALID_LINES = {capacity: 4_096, perSecond: 4_096};
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Thrown to stop the parser. */
class InvalidLinesError extends Error {}

/**
 * Follows an engine's cache events and resolves with the fault that ended the
 * stream: `NOT_FOUND` if the engine does not provide events, `STOPPING` if
 * `signal` was aborted, `INVALID_INPUT` for too many lines that belong to no
 * event. Events that cannot be parsed are ignored.
 */
export function followCacheEvents(
  baseUrl: string,
  agent: http.Agent,
  {onEvent, signal}: FollowCacheOptions,
): Promise<Fault> {
  return new Promise(resolve => {
    const request = openRequest({
      url: new URL(CACHE_EVENTS_PATH, baseUrl),
      method: 'GET',
      headers: {accept: 'text/event-stream'},
      agent,
      signal,
    });
    let endReadRate = () => {};
    const finish = (fault: Fault) => {
      clearTimeout(idleTimer);
      endReadRate();
      request.destroy();
      resolve(
        signal.aborted
          ? new Fault('STOPPING', 'the cache event stream was stopped')
          : fault,
      );
    };
    const idleTimer = setTimeout(
      () => finish(new Fault('TIMEOUT', 'the cache event stream sent no data')),
      IDLE_TIMEOUT_MS,
    );
    const invalidLines = new LeakyBucket(INVALID_LINES);
    const parser = createParser({
      maxBufferSize: MAX_EVENT_CHARACTERS,
      onError: ({message, type}) => {
        if (type === 'max-buffer-size-exceeded') {
          finish(new Fault('TOO_LARGE', message));
        } else if (!invalidLines.add(1, performance.now())) {
          throw new InvalidLinesError();
        }
      },
      onEvent: ({data}) => {
        const event = parseEvent(data);
        if (event !== undefined) {
          onEvent(event);
        }
      },
    });
    request.on('error', error =>
      finish(new Fault('UNAVAILABLE', error.message)),
    );
    request.on('response', response => {
      if (response.statusCode !== STATUS_OK) {
        response.resume();
        finish(statusFault(response.statusCode));
        return;
      }
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        idleTimer.refresh();
        try {
          parser.feed(chunk);
        } catch (thrown) {
          if (!(thrown instanceof InvalidLinesError)) {
            throw thrown;
          }
          const message = 'too many lines belong to no cache event';
          finish(new Fault('INVALID_INPUT', message));
        }
      });
      endReadRate = limitReadRate(response, READ_RATE);
      response.on('error', () => {});
      response.on('close', () =>
        finish(new Fault('UNAVAILABLE', 'the connection was closed')),
      );
    });
    request.end();
  });
}

function statusFault(status: number | undefined): Fault {
  const code = status === STATUS_NOT_FOUND ? 'NOT_FOUND' : 'UNAVAILABLE';
  return new Fault(code, `the server answered with HTTP status ${status}`);
}

function parseEvent(data: string): CacheEvent | undefined {
  try {
    return CACHE_EVENT_SCHEMA.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
