import {crc32} from 'node:zlib';

/** Starts each frame. */
const MAGIC = 0x4d534c31;
const HEADER_BYTES = 12;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;

/** A frame that was read, and where the next one starts. */
interface ReadFrame {
  readonly payload: Uint8Array;
  readonly end: number;
}

/** The frames of a file, and how much of it they fill. */
export interface Frames {
  readonly payloads: readonly Uint8Array[];
  /** Length of the part that holds whole frames, in bytes. */
  readonly validLength: number;
  /** Whether a whole frame stands after a damaged one. */
  readonly hasInteriorDamage: boolean;
}

/** Wraps bytes with their length and checksum: one frame for each synced write. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  const bytes = Buffer.alloc(HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(MAGIC, 0);
  bytes.writeUInt32BE(payload.length, LENGTH_OFFSET);
  bytes.writeUInt32BE(crc32(payload), CHECKSUM_OFFSET);
  bytes.set(payload, HEADER_BYTES);
  return bytes;
}

/**
 * Reads the frames of a file. A frame is written and synced as a whole before
 * the next is begun, so damage at the end is a write that power loss tore, and
 * damage before a whole frame is decay of what was synced.
 */
export function decodeFrames(bytes: Uint8Array): Frames {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let goodLength = 0;
  for (;;) {
    const next = readFrame(file, goodLength);
    if (next === undefined) {
      break;
    }
    payloads.push(next.payload);
    goodLength = next.end;
  }
  return {
    payloads,
    validLength: goodLength,
    hasInteriorDamage: holdsFrame(file, goodLength),
  };
}

function readFrame(file: Buffer, start: number): ReadFrame | undefined {
  if (
    start + HEADER_BYTES > file.length ||
    file.readUInt32BE(start) !== MAGIC
  ) {
    return undefined;
  }
  const length = file.readUInt32BE(start + LENGTH_OFFSET);
  const end = start + HEADER_BYTES + length;
  if (end > file.length) {
    return undefined;
  }
  const payload = file.subarray(start + HEADER_BYTES, end);
  const checksum = file.readUInt32BE(start + CHECKSUM_OFFSET);
  return crc32(payload) === checksum ? {payload, end} : undefined;
}

/** Whether a whole frame starts anywhere from `start` on. */
function holdsFrame(file: Buffer, start: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC);
  let at = file.indexOf(magic, start);
  while (at !== -1) {
    if (readFrame(file, at) !== undefined) {
      return true;
    }
    at = file.indexOf(magic, at + 1);
  }
  return false;
}
