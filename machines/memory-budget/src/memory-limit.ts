/** Number of bytes that a process may buffer. */
export interface ByteLimit {
  /** The limit while the heap takes `heapBytes`. */
  maxBytes(heapBytes: number): number;
  /** The limit from which the share of large buffers is taken; `maxBytes` if absent. */
  maxBytesWithLarge?(heapBytes: number): number;
}

/** Options of a memory limit. */
export interface MemoryLimitOptions {
  /** Memory that the process may use in all, in bytes. */
  readonly memoryBytes: number;
  /** Memory that connections take besides, in bytes. */
  readonly connectionBytes: number;
}

/** Memory of a process for code, stacks and native objects, in bytes. */
const NATIVE_BYTES = 48_000_000;
/**
 * Memory of large buffers that was given back to the budget and that the collector has not freed
 * yet, in bytes. With 202 MB, 120 bodies in large chunks took 222 MB without it.
 */
const UNCOLLECTED_BYTES = 24_000_000;
/** Share of the memory that may be buffered however large the heap is. */
const MIN_SHARE = 0.1;

/** Share of the memory for connections and the heads that arrive over them. */
const CONNECTION_SHARE = 0.25;

/** Part of a process's memory, in bytes, for connections and the heads that arrive over them. */
export function connectionBytes(memoryBytes: number): number {
  return memoryBytes * CONNECTION_SHARE;
}

/** What a heap of the present size leaves of a process's memory. */
export class MemoryLimit implements ByteLimit {
  constructor(private readonly options: MemoryLimitOptions) {}

  maxBytes(heapBytes: number): number {
    const {connectionBytes, memoryBytes} = this.options;
    return this.atLeastMinimum(
      memoryBytes - NATIVE_BYTES - connectionBytes - heapBytes,
    );
  }

  // Taken from the limit of small buffers too, these bytes let the heap's growth alone use up the
  // room that large buffers leave: calls without a body were refused.
  maxBytesWithLarge(heapBytes: number): number {
    return this.atLeastMinimum(this.maxBytes(heapBytes) - UNCOLLECTED_BYTES);
  }

  private atLeastMinimum(bytes: number): number {
    return Math.max(this.options.memoryBytes * MIN_SHARE, bytes);
  }
}

/** For a process whose settings state no memory. */
export const UNLIMITED: ByteLimit = {maxBytes: () => Infinity};
