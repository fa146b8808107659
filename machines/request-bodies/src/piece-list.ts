/** Pieces of at least this size are kept as they arrive; smaller ones are gathered, in bytes. */
const MIN_KEPT_BYTES = 16_384;
const MIN_BLOCK_BYTES = 4_096;
const MAX_BLOCK_BYTES = 65_536;

/** Collects the pieces of a body. Tiny pieces take little more memory than their bytes. */
export class PieceList {
  private readonly kept: Buffer[] = [];
  /** Small pieces that arrived one after the other, copied into one block. */
  private block = Buffer.alloc(0);
  private blockLength = 0;
  private length = 0;
  private keptBytes = 0;

  /** `expectedBytes` is the length of the whole body; undefined if it is not known. */
  constructor(private readonly expectedBytes?: number) {}

  /** Number of bytes that were added. */
  get byteLength(): number {
    return this.length;
  }

  /** Memory that the pieces take, in bytes. */
  get allocatedBytes(): number {
    return this.keptBytes + this.block.length;
  }

  add(piece: Buffer): void {
    const isFirst = this.length === 0;
    this.length += piece.length;
    if (isFirst || piece.length >= MIN_KEPT_BYTES) {
      this.keepBlock();
      this.keep(piece);
      return;
    }
    for (let start = 0; start < piece.length;) {
      if (this.block.length === 0) {
        this.block = Buffer.allocUnsafeSlow(this.nextBlockBytes());
      }
      const copied = piece.copy(this.block, this.blockLength, start);
      start += copied;
      this.blockLength += copied;
      if (this.blockLength === this.block.length) {
        this.keepBlock();
      }
    }
  }

  /** Returns all pieces in order and ends the list. */
  finish(): readonly Buffer[] {
    this.keepBlock();
    return this.kept;
  }

  private keep(piece: Buffer): void {
    if (piece.length > 0) {
      this.kept.push(piece);
      this.keptBytes += piece.length;
    }
  }

  /** Size of the next block: what is still expected, or as much as there is already. */
  private nextBlockBytes(): number {
    const bytes =
      this.expectedBytes === undefined
        ? Math.max(MIN_BLOCK_BYTES, this.keptBytes)
        : Math.max(1, this.expectedBytes - this.keptBytes);
    return Math.min(MAX_BLOCK_BYTES, bytes);
  }

  private keepBlock(): void {
    const {block, blockLength} = this;
    this.block = Buffer.alloc(0);
    this.blockLength = 0;
    if (blockLength === block.length) {
      this.keep(block);
      return;
    }
    const filled = Buffer.allocUnsafeSlow(blockLength);
    block.copy(filled, 0, 0, blockLength);
    this.keep(filled);
  }
}
