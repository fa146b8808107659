import type http from 'node:http';
import {createParser} from 'eventsource-parser';
import {Fault, type FaultCode} from '@marigoldspur/faults';
import {openRequest} from '@marigoldspur/http-link';

/** A tRPC subscription to open. */
export interface Subscription {
  /** Base URL of the router, such as `http://host:port/trpc/control`. */
  readonly url: string;
  readonly procedure: string;
  readonly input: unknown;
  readonly agent: http.Agent;
  readonly token?: string;
  /** Time without data after which the stream counts as lost, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly signal: AbortSignal;
  /** Called with each message; an exception ends the stream. */
  readonly onMessage: (message: unknown) => void;
}

/**
 * Runs a tRPC subscription (server-sent events) over Node's `http` and resolves with the
 * fault that ended it: the fault sent by the server, the fault thrown by `onMessage`
 * (`CORRUPT_DATA` for any other exception), `TIMEOUT` after `idleTimeoutMs` without data,
 * `UNAVAILABLE` for a broken connection, or `STOPPING` if `signal` was aborted.
 */
export function runSubscription(subscription: Subscription): Promise<Fault> {
  return new Promise(resolve => {
    const request = openRequest({
      url: subscriptionUrl(subscription),
      method: 'GET',
      headers: {
        accept: 'text/event-stream',
        ...(subscription.token !== undefined && {
          authorization: `Bearer ${subscription.token}`,
        }),
      },
      agent: subscription.agent,
    });
    const end = (fault: Fault) => {
      clearTimeout(timer);
      subscription.signal.removeEventListener('abort', stop);
      request.destroy();
      resolve(fault);
    };
    const stop = () => end(new Fault('STOPPING', 'the stream was closed'));
    const timer = setTimeout(
      () => end(new Fault('TIMEOUT', 'the stream received no data in time')),
      subscription.idleTimeoutMs,
    );
    const parser = createParser({
      maxBufferSize: MAX_MESSAGE_CHARACTERS,
      onError: error => end(new Fault('UNAVAILABLE', error.message)),
      onEvent: event => {
        timer.refresh();
        if (event.event === 'serialized-error') {
          end(parseFault(event.data));
        } else if (event.event === 'return') {
          end(new Fault('UNAVAILABLE', 'the stream ended'));
        } else if (event.event === undefined) {
          handleMessage(event.data);
        }
      },
    });
    const handleMessage = (data: string) => {
      try {
        subscription.onMessage(JSON.parse(data));
      } catch (thrown) {
        end(
          thrown instanceof Fault
            ? thrown
            : new Fault('CORRUPT_DATA', String(thrown), {cause: thrown}),
        );
      }
    };
    if (subscription.signal.aborted) {
      stop();
      return;
    }
    subscription.signal.addEventListener('abort', stop);
    request.on('error', error => end(new Fault('UNAVAILABLE', error.message)));
    request.on('response', response => {
      if (response.statusCode !== STATUS_OK) {
        end(
          new Fault(
            'UNAVAILABLE',
            `the server answered with HTTP status ${response.statusCode}`,
          ),
        );
        return;
      }
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        timer.refresh();
        parser.feed(chunk);
      });
      response.on('close', () =>
        end(new Fault('UNAVAILABLE', 'the connection closed')),
      );
    });
    request.end();
  });
}

const STATUS_OK = 200;
/** A settings tree with 36,000 adapters has about 4 million characters. */
const MAX_MESSAGE_CHARACTERS = 33_554_432;

function subscriptionUrl(subscription: Subscription): URL {
  const url = new URL(`${subscription.url}/${subscription.procedure}`);
  url.searchParams.set('input', JSON.stringify(subscription.input));
  return url;
}

/** Converts the error that a tRPC server sent at the end of a stream. */
function parseFault(data: string): Fault {
  try {
    const error = JSON.parse(data) as {
      message?: string;
      data?: {fault?: FaultCode};
    };
    const code = error.data?.fault ?? 'UNAVAILABLE';
    return new Fault(code, error.message ?? '');
  } catch {
    return new Fault('UNAVAILABLE', 'the stream ended with an error');
  }
}
