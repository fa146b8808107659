import type {IncomingMessage, ServerResponse} from 'node:http';
import {guard} from '@marigoldspur/fault-guard';
import {Refusal} from '@marigoldspur/faults';
import {
  framingOf,
  PacedReading,
  pauseMessage,
  resumeMessage,
  type BodyFraming,
  type ChunkMeter,
} from '@marigoldspur/http-link';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {PieceList} from '@marigoldspur/request-bodies';
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

/** How a target's response is relayed. */
export interface RelayOptions {
  readonly hop: Hop;
  /** The response to the entry. */
  readonly response: ServerResponse;
  readonly check: ResponseCheck;
  /** Counts the chunks of all responses of the target. */
  readonly chunkMeter: ChunkMeter;
}

/**
 * Relays a target's response with backpressure from the entry and sends its
 * length in a trailer. A response that is incomplete, belongs to another
 * attempt or comes in too many tiny chunks is never ended cleanly.
 */
export function relayResponse(
  targetResponse: IncomingMessage,
  {check, chunkMeter, hop, response}: RelayOptions,
): Promise<RelayEnd> {
  return new Promise(resolve => {
    const resume = () => {
      if (!response.writableNeedDrain && !reading.isPausing) {
        resumeMessage(targetResponse);
      }
    };
    const type = targetResponse.headers['content-type'] ?? '';
    const reading = new PacedReading({
      message: targetResponse,
      isStream: type.startsWith('text/event-stream'),
      chunkMeter,
      onResume: resume,
    });
    let hasEnded = false;
    const finish = (end: RelayEnd) => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      reading.cancel();
      if (end !== 'whole') {
        targetResponse.destroy();
        relay.abort(end);
      }
      resolve(end);
    };
    const onFault = () => finish('torn');
    const relay = new Relay(hop, targetResponse, response, onFault);
    const handleChunk = (chunk: Buffer) => {
      // The rest of a read is still parsed after the response is destroyed.
      if (hasEnded) {
        return;
      }
      reading.recordChunk(chunk, performance.now());
      const checked = check.checkChunk(chunk);
      if (checked.fault !== undefined || reading.isFragmented) {
        finish(checked.fault ?? 'torn');
      } else {
        relay.pass(checked);
      }
    };
    targetResponse.on('data', guard(handleChunk, {onFault}));
    response.on('drain', resume);
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
  const relay = new Relay(hop, targetResponse, response, () =>
    response.destroy(),
  );
  relay.pass({pass: [body]});
  relay.end(() => {});
}

/**
 * Passes on a response. The response head is sent with the first checked byte.
 */
class Relay {
  private bytes = 0;
  /** What is written together once the current read has been parsed. */
  private unwritten = new PieceList();

  /** Calls `onFault` if a write fails. */
  constructor(
    private readonly hop: Hop,
    private readonly targetResponse: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly onFault: () => void,
  ) {}

  /** Gathers what one read brings, so that the entry does not get each tiny chunk by itself. */
  pass(checked: CheckResult): void {
    if (this.unwritten.byteLength === 0) {
      const {onFault} = this;
      process.nextTick(guard(() => this.writeGathered(), {onFault}));
    }
    checked.pass.forEach(chunk => this.unwritten.add(chunk));
  }

  end(done: () => void): void {
    this.writeGathered();
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

  private writeGathered(): void {
    const pieces = this.unwritten.finish();
    this.unwritten = new PieceList();
    if (this.response.destroyed || this.response.writableEnded) {
      return;
    }
    for (const piece of pieces) {
      this.writeHead();
      this.bytes += piece.length;
      if (!this.response.write(piece)) {
        pauseMessage(this.targetResponse);
      }
    }
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
