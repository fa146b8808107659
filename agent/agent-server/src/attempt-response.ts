import type {IncomingMessage, ServerResponse} from 'node:http';
import {guard} from '@marigoldspur/fault-guard';
import {Refusal} from '@marigoldspur/faults';
import {framingOf, type BodyFraming} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import type {
  ResponseCheck,
  ResponseFault,
  CheckResult,
} from './response-check.js';
import {forwardedHeaders} from './attempt-headers.js';

/** How a relay ended. `cancelled`: the entry disconnected. */
export type RelayEnd = 'whole' | 'cancelled' | ResponseFault;

const RETRY_AFTER_SECONDS = 1;

/**
 * Responds to an attempt with a refusal, or closes the connection if the
 * response has already started.
 */
export function refuseAttempt(
  hop: Hop | undefined,
  response: ServerResponse,
  refusal: Refusal,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const text = JSON.stringify({message: refusal.message});
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [HOP_HEADERS.outcome]: refusal.outcome,
    [HOP_HEADERS.reason]: refusal.reason,
    ...(hop !== undefined && attemptHeaders(hop)),
    ...(refusal.retryAfterSeconds !== undefined && {
      'retry-after': String(refusal.retryAfterSeconds),
    }),
  });
  response.end(text);
}

/**
 * Relays a target's response with backpressure from the entry and sends its
 * length in a trailer. A response that is incomplete or belongs to another
 * attempt is never ended cleanly.
 */
export function relayResponse(
  hop: Hop,
  targetResponse: IncomingMessage,
  response: ServerResponse,
  check: ResponseCheck,
): Promise<RelayEnd> {
  return new Promise(resolve => {
    const relay = new Relay(hop, targetResponse, response);
    let hasEnded = false;
    const finish = (end: RelayEnd) => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      if (end !== 'whole') {
        targetResponse.destroy();
        relay.abort(end);
      }
      resolve(end);
    };
    const onFault = () => finish('torn');
    targetResponse.on(
      'data',
      guard(
        (chunk: Buffer) => {
          const checked = check.checkChunk(chunk);
          if (checked.fault !== undefined) {
            finish(checked.fault);
          } else {
            relay.pass(checked);
          }
        },
        {onFault},
      ),
    );
    response.on('drain', () => targetResponse.resume());
    targetResponse.on('error', () => {});
    targetResponse.on('close', () => {
      if (!targetResponse.complete) {
        finish('torn');
      }
    });
    const end = () => {
      const checked = check.finish();
      const fault = relay.hasVerifiableEnd ? checked.fault : 'torn';
      if (!targetResponse.complete || fault !== undefined) {
        finish(fault ?? 'torn');
        return;
      }
      relay.pass(checked);
      relay.end(() => finish('whole'));
    };
    targetResponse.on('end', guard(end, {onFault}));
    response.on('close', () => {
      if (!response.writableFinished) {
        finish('cancelled');
      }
    });
  });
}

/** Sends a target's response whose body has already been read. */
export function sendResponse(
  hop: Hop,
  targetResponse: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
): void {
  const relay = new Relay(hop, targetResponse, response);
  relay.pass({pass: [body]});
  relay.end(() => {});
}

/**
 * Passes on a response. The response head is sent with the first checked byte.
 */
class Relay {
  private bytes = 0;

  constructor(
    private readonly hop: Hop,
    private readonly targetResponse: IncomingMessage,
    private readonly response: ServerResponse,
  ) {}

  pass(checked: CheckResult): void {
    for (const chunk of checked.pass) {
      this.writeHead();
      this.bytes += chunk.length;
      if (!this.response.write(chunk)) {
        this.targetResponse.pause();
      }
    }
  }

  end(done: () => void): void {
    this.writeHead();
    if (!this.isBodiless) {
      this.response.addTrailers({[HOP_HEADERS.end]: String(this.bytes)});
    }
    this.response.end(done);
  }

  abort(end: RelayEnd): void {
    const reason = end === 'crossed' ? 'crossed_answer' : 'torn_answer';
    const message = `the target's response was ${end}`;
    refuseAttempt(
      this.hop,
      this.response,
      new Refusal('unknown', 502, reason, message, RETRY_AFTER_SECONDS),
    );
  }

  /**
   * Whether the end of the response proves that it is complete. A response that
   * ends when the connection closes may be truncated.
   */
  get hasVerifiableEnd(): boolean {
    return this.framing !== 'close';
  }

  private get framing(): BodyFraming {
    return framingOf(this.targetResponse, this.response.req.method ?? '');
  }

  private get isBodiless(): boolean {
    return this.framing === 'none';
  }

  private writeHead(): void {
    if (this.response.headersSent) {
      return;
    }
    this.response.writeHead(this.targetResponse.statusCode ?? 502, {
      ...forwardedHeaders(this.targetResponse),
      ...(this.isBodiless
        ? {[HOP_HEADERS.end]: '0'}
        : {trailer: HOP_HEADERS.end}),
      ...attemptHeaders(this.hop),
    });
  }
}

function attemptHeaders(hop: Hop) {
  return {
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
  };
}
