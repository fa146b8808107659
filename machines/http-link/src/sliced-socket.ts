import net from 'node:net';

const LINE_FEED = 0x0a;
/** Line feeds in a slice: two for each chunk that it may have, however small. */
const MAX_SLICE_LINES = 512;

/**
 * A socket that passes on what it has read in slices of few chunks. If its reader pauses, the rest stays in
 * the socket as it arrived, where it takes little memory: the HTTP parser would turn each chunk of it into a
 * buffer.
 */
export class SlicedSocket extends net.Socket {
  override push(
    bytes: Buffer | string | null,
    encoding?: BufferEncoding,
  ): boolean {
    if (!Buffer.isBuffer(bytes)) {
      return super.push(bytes, encoding);
    }
    let takesMore = true;
    for (let start = 0; start < bytes.length && !this.destroyed;) {
      const end = sliceEnd(bytes, start);
      takesMore = super.push(bytes.subarray(start, end));
      start = end;
    }
    return takesMore;
  }
}

function sliceEnd(bytes: Buffer, start: number): number {
  let end = start;
  for (let lines = 0; lines < MAX_SLICE_LINES; lines += 1) {
    end = bytes.indexOf(LINE_FEED, end) + 1;
    if (end === 0) {
      return bytes.length;
    }
  }
  return end;
}
