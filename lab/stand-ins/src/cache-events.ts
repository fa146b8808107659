import type {ServerResponse} from 'node:http';
import murmurhash from 'murmurhash';
import type {EngineState} from './engine-state.js';

/** What happened to the prefix cache of an engine stand-in. */
export type CacheChange =
  | {
      readonly kind: 'stored';
      /** Identity of the request at the engine. */
      readonly request: string;
      /** All blocks of the request's prompt, in order. */
      readonly blocks: readonly string[];
    }
  | {readonly kind: 'removed'; readonly blocks: readonly string[]}
  | {readonly kind: 'cleared'};

/** Options of the cache events of an engine stand-in. */
export interface CacheEventsOptions {
  /** Time by which events come late, in milliseconds. */
  readonly lagMs: number;
  /** Share of the events that are never sent. */
  readonly dropShare: number;
  /** Which events these are. */
  readonly seed: number;
}

const HASH_RANGE = 2 ** 32;
const OTHER = 'other';

/** Publishes the changes of a prefix cache as server-sent events, late and with gaps. */
export class CacheEvents {
  private readonly readers = new Set<ServerResponse>();
  private sequence = 0;

  constructor(
    private readonly options: CacheEventsOptions,
    private readonly state: EngineState,
  ) {}

  /** Sends the events from now on to a reader. */
  open(response: ServerResponse): void {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.flushHeaders();
    this.readers.add(response);
    response.on('close', () => this.readers.delete(response));
  }

  /** Publishes a change under the next sequence number. */
  publish(change: CacheChange): void {
    const {boot, faults} = this.state;
    const sequence = this.sequence;
    this.sequence += 1;
    if (faults.cacheEvents === 'none' || this.isDropped(sequence)) {
      return;
    }
    const told = faults.cacheEvents === 'wrong' ? wrongOf(change) : change;
    const data = JSON.stringify({boot, sequence, ...told});
    const text = `id: ${sequence}\ndata: ${data}\n\n`;
    setTimeout(() => this.send(text), this.options.lagMs).unref();
  }

  /** Begins anew and breaks all readers off, as a restart of the engine does. */
  restart(): void {
    this.sequence = 0;
    this.readers.forEach(reader => reader.destroy());
    this.readers.clear();
  }

  private isDropped(sequence: number): boolean {
    const {dropShare, seed} = this.options;
    return murmurhash.v3(String(sequence), seed) / HASH_RANGE < dropShare;
  }

  private send(text: string): void {
    this.readers.forEach(reader => reader.write(text));
  }
}

/** A change that did not happen: what was stored is told as removed, and the other way round. */
function wrongOf(change: CacheChange): object {
  switch (change.kind) {
    case 'stored':
      return {kind: 'removed', blocks: change.blocks};
    case 'removed':
      return {kind: 'stored', request: OTHER, blocks: change.blocks};
    case 'cleared':
      return {kind: OTHER};
  }
}
