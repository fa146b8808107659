import type {IncomingMessage, ServerResponse} from 'node:http';
import {Refusal} from '@marigoldspur/faults';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import type {
  ResponseCheck,
  ResponseFault,
  CheckResult,
} from './response-check.js';
import {forwardedHeaders} from './attempt-headers.js';

/** How a relay ended. `cancelled`: the entry went away. */
export type RelayEnd = 'whole' | 'cancelled' | ResponseFault;

const RETRY_SOON_SECONDS = 1;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Answers an attempt with a refusal; a begun answer is torn. */
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
 * Relays a target's answer at the entry's pace, with its length in a trailer. An
 * answer that is not whole, or not this attempt's, is never ended cleanly.
 */
export function relayResponse(
  hop: Hop,
  answer: IncomingMessage,
  response: ServerResponse,
  check: ResponseCheck,
): Promise<RelayEnd> {
  return new Promise(resolve => {
    const relay = new Relay(hop, answer, response);
    let ended = false;
    const finish = (end: RelayEnd) => {
      if (ended) {
        return;
      }
      ended = true;
      if (end !== 'whole') {
        answer.destroy();
        relay.tear(end);
      }
      resolve(end);
    };
    answer.on('data', (chunk: Buffer) => {
      const checked = check.take(chunk);
      if (checked.fault !== undefined) {
        finish(checked.fault);
      } else {
        relay.pass(checked);
      }
    });
    response.on('drain', () => answer.resume());
    answer.on('error', () => {});
    answer.on('close', () => {
      if (!answer.complete) {
        finish('torn');
      }
    });
    answer.on('end', () => {
      const checked = check.end();
      const fault = relay.endsProvably ? checked.fault : 'torn';
      if (!answer.complete || fault !== undefined) {
        finish(fault ?? 'torn');
        return;
      }
      relay.pass(checked);
      relay.end(() => finish('whole'));
    });
    response.on('close', () => {
      if (!response.writableFinished) {
        finish('cancelled');
      }
    });
  });
}

/** Answers with a target's answer whose body is already read. */
export function sendResponse(
  hop: Hop,
  answer: IncomingMessage,
  body: Buffer,
  response: ServerResponse,
): void {
  const relay = new Relay(hop, answer, response);
  relay.pass({pass: [body]});
  relay.end(() => {});
}

/** Passes an answer on; its head goes out with its first checked byte. */
class Relay {
  private bytes = 0;

  constructor(
    private readonly hop: Hop,
    private readonly answer: IncomingMessage,
    private readonly response: ServerResponse,
  ) {}

  pass(checked: CheckResult): void {
    for (const chunk of checked.pass) {
      this.writeHead();
      this.bytes += chunk.length;
      if (!this.response.write(chunk)) {
        this.answer.pause();
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

  tear(end: RelayEnd): void {
    const reason = end === 'crossed' ? 'crossed_answer' : 'torn_answer';
    const message = `the target's answer was ${end}`;
    refuseAttempt(
      this.hop,
      this.response,
      new Refusal('unknown', 502, reason, message, RETRY_SOON_SECONDS),
    );
  }

  /** Whether the end shows that the answer is whole: one ended by closing the connection may be cut. */
  get endsProvably(): boolean {
    const {headers} = this.answer;
    return (
      this.isBodiless ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined
    );
  }

  private get isBodiless(): boolean {
    const {statusCode} = this.answer;
    return (
      this.response.req.method === 'HEAD' ||
      statusCode === STATUS_NO_CONTENT ||
      statusCode === STATUS_NOT_MODIFIED
    );
  }

  private writeHead(): void {
    if (this.response.headersSent) {
      return;
    }
    this.response.writeHead(this.answer.statusCode ?? 502, {
      ...forwardedHeaders(this.answer),
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
