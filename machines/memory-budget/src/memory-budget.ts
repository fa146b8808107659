import type {ByteLimit} from './memory-limit.js';

/** Bytes of a budget that are reserved until they are released. */
export interface Reservation {
  readonly bytes: number;
  /** Changes the size; false, without a change, if the budget lacks the bytes. Shrinking never fails. */
  resize(bytes: number): boolean;
  /** Gives all bytes back; further calls have no effect. */
  release(): void;
}

/** How full a budget is. */
export interface BudgetOccupancy {
  /** Reserved bytes outside the heap. */
  readonly heldBytes: number;
  readonly maxBytes: number;
}

/** Hears when a budget begins and ends to refuse reservations. */
export interface BudgetListener {
  /** Called with the first refusal after a time without any. */
  onFull(kind: string, bytes: number, occupancy: BudgetOccupancy): void;
  /** Called once a reservation succeeds that would have been refused, with the number of refusals. */
  onRoom(refusals: number, occupancy: BudgetOccupancy): void;
}

/** Options of a memory budget. */
export interface MemoryBudgetOptions {
  readonly limit: ByteLimit;
  /** Returns the size of the heap, in bytes. */
  readonly heapBytes: () => number;
  /** Kinds of objects in the heap, with the maximum of each, in bytes. The size of the heap covers them. */
  readonly maxBytesByHeapKind?: ReadonlyMap<string, number>;
  readonly listener?: BudgetListener;
  /** Share of the budget that reservations above `MAX_SMALL_BYTES` together may use; three quarters if absent. */
  readonly largeShare?: number;
}

/** Kind of what a request takes in the heap, besides its body and its response. */
export const REQUEST_OBJECTS = 'request-objects';
/** Largest size of a reservation that may use the whole budget, in bytes. */
export const MAX_SMALL_BYTES = 65_536;
const DEFAULT_LARGE_SHARE = 0.75;

/** Limits the bytes that a process buffers, of all kinds together. */
export class MemoryBudget {
  private readonly heldByKind = new Map<string, number>();
  private readonly refusedByKind = new Map<string, number>();
  /** Reserved bytes outside the heap. */
  private held = 0;
  /** Refusals since the budget was last known to have room; 0 if it has. */
  private refusals = 0;
  /** Size of the smallest reservation that was refused since then, in bytes. */
  private smallestRefused = Infinity;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Reserved bytes by kind. */
  get heldBytesByKind(): ReadonlyMap<string, number> {
    return this.heldByKind;
  }

  /** Number of refused reservations by kind. */
  get refusalsByKind(): ReadonlyMap<string, number> {
    return this.refusedByKind;
  }

  /** How full the budget is with the present heap. */
  get occupancy(): BudgetOccupancy {
    const {heapBytes, limit} = this.options;
    return {heldBytes: this.held, maxBytes: limit.maxBytes(heapBytes())};
  }

  /** Reserves bytes for data of a kind; undefined if the budget lacks them. */
  reserve(kind: string, bytes: number): Reservation | undefined {
    if (!this.take(kind, bytes, bytes)) {
      return undefined;
    }
    let reserved = bytes;
    let isReleased = false;
    return {
      get bytes() {
        return reserved;
      },
      resize: size => {
        if (isReleased || !this.take(kind, size - reserved, size)) {
          return false;
        }
        reserved = size;
        return true;
      },
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.add(kind, -reserved);
          reserved = 0;
        }
      },
    };
  }

  /** Bytes that are missing so that a reservation of `size` can take `bytes` more; 0 if there is room. */
  missingBytes(bytes: number, size = bytes): number {
    const available =
      size > MAX_SMALL_BYTES ? this.maxLargeBytes : this.occupancy.maxBytes;
    return Math.max(0, this.held + bytes - available);
  }

  private get maxLargeBytes(): number {
    const {heapBytes, largeShare = DEFAULT_LARGE_SHARE, limit} = this.options;
    const heap = heapBytes() + this.heapGrowthBytes;
    return (
      (limit.maxBytesWithLarge?.(heap) ?? limit.maxBytes(heap)) * largeShare
    );
  }

  /** Bytes that objects of the heap kinds may still take. */
  private get heapGrowthBytes(): number {
    let bytes = 0;
    this.options.maxBytesByHeapKind?.forEach((maxBytes, kind) => {
      bytes += maxBytes - (this.heldByKind.get(kind) ?? 0);
    });
    return bytes;
  }

  /** Takes bytes for a reservation that then has `size` bytes; whether they fit. */
  private take(kind: string, bytes: number, size: number): boolean {
    if (bytes <= 0) {
      this.add(kind, bytes);
      return true;
    }
    const heldOfKind = this.heldByKind.get(kind) ?? 0;
    const maxOfKind = this.options.maxBytesByHeapKind?.get(kind) ?? Infinity;
    if (this.missingBytes(bytes, size) > 0 || heldOfKind + bytes > maxOfKind) {
      this.refuse(kind, size);
      return false;
    }
    this.add(kind, bytes);
    if (this.refusals > 0 && size >= this.smallestRefused) {
      const {refusals} = this;
      this.refusals = 0;
      this.smallestRefused = Infinity;
      this.options.listener?.onRoom(refusals, this.occupancy);
    }
    return true;
  }

  private refuse(kind: string, size: number): void {
    this.refusedByKind.set(kind, (this.refusedByKind.get(kind) ?? 0) + 1);
    this.refusals += 1;
    this.smallestRefused = Math.min(this.smallestRefused, size);
    if (this.refusals === 1) {
      this.options.listener?.onFull(kind, size, this.occupancy);
    }
  }

  private add(kind: string, bytes: number): void {
    if (this.options.maxBytesByHeapKind?.has(kind) !== true) {
      this.held += bytes;
    }
    this.heldByKind.set(kind, (this.heldByKind.get(kind) ?? 0) + bytes);
  }
}
