import type {ServerResponse} from 'node:http';
import murmurhash from 'murmurhash';
import type {EngineState} from './engine-state.js';

/** A change of the prefix cache of an engine stand-in. */
export type CacheChange =
  | {
      readonly kind: 'stored';
      /** Request ID at the engine. */
      readonly request: string;
      /** All blocks of the request's prompt, in order. */
      readonly blocks: readonly string[];
    }
  | {readonly kind: 'removed'; readonly blocks: readonly string[]}
  | {readonly kind: 'cleared'};

/** Options of the cache event publisher of an engine stand-in. */
export interface CacheEventPublisherOptions {
  /** Delay of each event, in milliseconds. */
  readonly delayMs: number;
  /** Fraction of the events that are dropped. */
  readonly dropShare: number;
  /** Seed that selects the dropped events. */
  readonly seed: number;
}

const HASH_RANGE = 2 ** 32;
const WRONG_VALUE = 'other';

/**
 * Publishes the changes of a prefix cache as server-sent events, optionally delayed and
 * with gaps.
 */
export class CacheEventPublisher {
  private readonly subscribers = new Set<ServerResponse>();
  private sequence = 0;

  constructor(
    private readonly options: CacheEventPublisherOptions,
    private readonly state: EngineState,
  ) {}

  /** Sends all further events to the response. */
  subscribe(response: ServerResponse): void {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    this.subscribers.add(response);
    response.on('close', () => this.subscribers.delete(response));
  }

  /** Publishes a change with the next sequence number. */
  publish(change: CacheChange): void {
    const {boot, faults} = this.state;
    const sequence = this.sequence;
    this.sequence += 1;
    if (faults.cacheEvents === 'none' || this.isDropped(sequence)) {
      return;
    }
    const published =
      faults.cacheEvents === 'wrong' ? falsifyChange(change) : change;
    const data = JSON.stringify({boot, sequence, ...published});
    const text = `id: ${sequence}\ndata: ${data}\n\n`;
    setTimeout(() => this.send(text), this.options.delayMs).unref();
  }

  /** Resets the sequence and disconnects all subscribers, as an engine restart does. */
  restart(): void {
    this.sequence = 0;
    this.subscribers.forEach(subscriber => subscriber.destroy());
    this.subscribers.clear();
  }

  private isDropped(sequence: number): boolean {
    const {dropShare, seed} = this.options;
    return murmurhash.v3(String(sequence), seed) / HASH_RANGE < dropShare;
  }

  private send(text: string): void {
    this.subscribers.forEach(subscriber => subscriber.write(text));
  }
}

/** Returns a false report: stored blocks as removed, and removed blocks as stored. */
function falsifyChange(change: CacheChange): object {
  switch (change.kind) {
    case 'stored':
      return {kind: 'removed', blocks: change.blocks};
    case 'removed':
      return {kind: 'stored', request: WRONG_VALUE, blocks: change.blocks};
    case 'cleared':
      return {kind: WRONG_VALUE};
  }
}
