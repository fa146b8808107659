/** Pieces of at least this size are kept as they arrive; smaller ones are gathered, in bytes. */
const MIN_KEPT_BYTES = 16_384;
const BLOCK_BYTES = 65_536;

/** Collects the pieces of a body. Tiny pieces take little more memory than their bytes. */
export class PieceList {
  private readonly kept: Buffer[] = [];
  /** Small pieces that arrived one after the other, copied into one block. */
  private block = Buffer.alloc(0);
  private blockLength = 0;
  private length = 0;
  private keptBytes = 0;

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
        this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      }
      const copied = piece.copy(this.block, this.blockLength, start);
      start += copied;
      this.blockLength += copied;
      if (this.blockLength === BLOCK_BYTES) {
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

  private keepBlock(): void {
    const {block, blockLength} = this;
    this.block = Buffer.alloc(0);
    this.blockLength = 0;
    this.keep(
      blockLength === block.length
        ? block
        : Buffer.from(block.subarray(0, blockLength)),
    );
  }
}
