import type {IncomingMessage} from 'node:http';
import {PieceList} from '@marigoldspur/request-bodies';
import {FirstDataFinder} from './first-data-finder.js';

/** Result of checking part of a response. */
export interface CheckResult {
  /** Bytes that may be forwarded now. */
  readonly pass: readonly Buffer[];
  /** Set if the response is incomplete or belongs to another request. */
  readonly fault?: ResponseFault;
}

/**
 * Fault of a response. `crossed`: it belongs to another request. `torn`: it is
 * incomplete or malformed.
 */
export type ResponseFault = 'crossed' | 'torn';

/**
 * Checks the body of a response while it is relayed. Nothing is forwarded
 * unchecked.
 */
export interface ResponseCheck {
  /** Checks the next chunk of the body. */
  checkChunk(chunk: Buffer): CheckResult;
  /** Checks that the body is complete, after its last chunk. */
  finish(): CheckResult;
}

const MAX_BUFFERED_BYTES = 1_048_576;
const END_MARKER = '[DONE]';
const END_EVENT = `\ndata: ${END_MARKER}`;

/** Creates the check for an engine's response to a request for `model`. */
export function createResponseCheck(
  targetResponse: IncomingMessage,
  model: string,
): ResponseCheck {
  if (targetResponse.statusCode !== 200) {
    return new PassThroughCheck();
  }
  const type = targetResponse.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream')
    ? new StreamCheck(model)
    : new JsonCheck(model);
}

/** Forwards everything without checks. */
export class PassThroughCheck implements ResponseCheck {
  checkChunk(chunk: Buffer): CheckResult {
    return {pass: [chunk]};
  }

  finish(): CheckResult {
    return {pass: []};
  }
}

/**
 * Buffers a JSON response until its model is checked. A response over the
 * buffer limit is forwarded on the basis of its headers alone.
 */
class JsonCheck implements ResponseCheck {
  private readonly buffered = new PieceList();
  private isReleased = false;

  constructor(private readonly model: string) {}

  checkChunk(chunk: Buffer): CheckResult {
    if (this.isReleased) {
      return {pass: [chunk]};
    }
    this.buffered.add(chunk);
    this.isReleased = this.buffered.byteLength > MAX_BUFFERED_BYTES;
    return {pass: this.isReleased ? this.buffered.finish() : []};
  }

  finish(): CheckResult {
    if (this.isReleased) {
      return {pass: []};
    }
    const body = Buffer.concat(this.buffered.finish());
    const model = jsonModel(body.toString('utf8'));
    if (model === undefined) {
      return {pass: [], fault: 'torn'};
    }
    return model === this.model ? {pass: [body]} : {pass: [], fault: 'crossed'};
  }
}

/**
 * Checks the model of the first event, and that the stream ends with its only
 * end marker.
 */
class StreamCheck implements ResponseCheck {
  /** What has arrived before the model is checked; undefined after that. */
  private unchecked: PieceList | undefined = new PieceList();
  private readonly firstData = new FirstDataFinder();
  private tail = '\n';
  private hasEnded = false;

  constructor(private readonly model: string) {}

  checkChunk(chunk: Buffer): CheckResult {
    if (!this.trackEnd(chunk)) {
      return {pass: [], fault: 'torn'};
    }
    const {unchecked} = this;
    if (unchecked === undefined) {
      return {pass: [chunk]};
    }
    unchecked.add(chunk);
    const range = this.firstData.add(chunk);
    if (range === undefined) {
      return unchecked.byteLength > MAX_BUFFERED_BYTES
        ? {pass: [], fault: 'torn'}
        : {pass: []};
    }
    const bytes = Buffer.concat(unchecked.finish());
    const data = bytes.toString('utf8', range.start, range.end).trim();
    if (data !== END_MARKER && jsonModel(data) !== this.model) {
      return {pass: [], fault: 'crossed'};
    }
    this.unchecked = undefined;
    return {pass: [bytes]};
  }

  finish(): CheckResult {
    return this.hasEnded && this.unchecked === undefined
      ? {pass: []}
      : {pass: [], fault: 'torn'};
  }

  /**
   * Tracks the end marker; returns false if anything but whitespace follows it.
   */
  private trackEnd(chunk: Buffer): boolean {
    const text = this.tail + chunk.toString('latin1');
    const end = this.hasEnded ? 0 : text.indexOf(END_EVENT);
    this.tail = text.slice(-END_EVENT.length);
    if (end < 0) {
      return true;
    }
    const rest = this.hasEnded
      ? chunk.toString('latin1')
      : text.slice(end + END_EVENT.length);
    this.hasEnded = true;
    return rest.trim() === '';
  }
}

function jsonModel(text: string): string | undefined {
  try {
    const {model} = JSON.parse(text) as {model?: unknown};
    return typeof model === 'string' ? model : undefined;
  } catch {
    return undefined;
  }
}
