import type http from 'node:http';
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import {Fault} from '@marigoldspur/faults';
import {openRequest} from '@marigoldspur/http-link';

const BOOT = z.string().regex(/^\S{1,64}$/);
const BLOCKS = z.array(z.string().min(1).max(128));
const HEAD = {
  /** Boot identity of the engine. */
  boot: BOOT,
  /** Number of the event within the boot; one that is left out never came. */
  sequence: z.int().min(0),
};

/** One event of an engine's prefix cache; names of blocks mean something to the engine alone. */
export const CACHE_EVENT_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    ...HEAD,
    kind: z.literal('stored'),
    /** Identity of the request at the engine. */
    request: z.string(),
    /** All blocks of the request's prompt, in order. */
    blocks: BLOCKS,
  }),
  z.object({...HEAD, kind: z.literal('removed'), blocks: BLOCKS}),
  z.object({...HEAD, kind: z.literal('cleared')}),
]);

/** One event of an engine's prefix cache. */
export type CacheEvent = z.infer<typeof CACHE_EVENT_SCHEMA>;

/** How the events are followed. */
export interface FollowCacheOptions {
  readonly signal: AbortSignal;
  readonly onEvent: (event: CacheEvent) => void;
}

const CACHE_EVENTS_PATH = '/v1/cache/events';
const MAX_EVENT_CHARACTERS = 1_048_576;
/** A stream that is silent for longer may be dead, and is opened anew. */
const SILENCE_MS = 60_000;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Follows an engine's cache events and resolves with the fault that ended them:
 * `NOT_FOUND` where the engine has none, `STOPPING` when `signal` ended them. Events
 * that can't be read are passed over.
 */
export function followCacheEvents(
  baseUrl: string,
  agent: http.Agent,
  {onEvent, signal}: FollowCacheOptions,
): Promise<Fault> {
  return new Promise(resolve => {
    const call = openRequest({
      url: new URL(CACHE_EVENTS_PATH, baseUrl),
      method: 'GET',
      headers: {accept: 'text/event-stream'},
      agent,
      signal,
    });
    const end = (fault: Fault) => {
      clearTimeout(silence);
      call.destroy();
      resolve(signal.aborted ? new Fault('STOPPING', 'not wanted') : fault);
    };
    const silence = setTimeout(
      () => end(new Fault('TIMEOUT', 'the events fell silent')),
      SILENCE_MS,
    );
    const parser = createParser({
      maxBufferSize: MAX_EVENT_CHARACTERS,
      onError: ({message, type}) => {
        if (type === 'max-buffer-size-exceeded') {
          end(new Fault('TOO_LARGE', message));
        }
      },
      onEvent: ({data}) => {
        const event = parseEvent(data);
        if (event !== undefined) {
          onEvent(event);
        }
      },
    });
    call.on('error', error => end(new Fault('UNAVAILABLE', error.message)));
    call.on('response', response => {
      if (response.statusCode !== STATUS_OK) {
        response.resume();
        end(refused(response.statusCode));
        return;
      }
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        silence.refresh();
        parser.feed(chunk);
      });
      response.on('error', () => {});
      response.on('close', () =>
        end(new Fault('UNAVAILABLE', 'the connection broke')),
      );
    });
    call.end();
  });
}

function refused(status: number | undefined): Fault {
  const code = status === STATUS_NOT_FOUND ? 'NOT_FOUND' : 'UNAVAILABLE';
  return new Fault(code, `HTTP status ${status}`);
}

function parseEvent(data: string): CacheEvent | undefined {
  try {
    return CACHE_EVENT_SCHEMA.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}
