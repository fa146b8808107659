import {crc32} from 'node:zlib';

/** Magic number at the start of each frame. */
const MAGIC = 0x4d534c31;
const HEADER_BYTES = 12;
const LENGTH_OFFSET = 4;
const CHECKSUM_OFFSET = 8;

/** A decoded frame and the offset after it, in bytes. */
interface DecodedFrame {
  readonly payload: Uint8Array;
  readonly end: number;
}

/** The frames of a file and whether the rest of it is damaged. */
export interface Frames {
  readonly payloads: readonly Uint8Array[];
  /** Length of the valid frames at the start of the file, in bytes. */
  readonly validLength: number;
  /** Whether a valid frame follows damaged bytes. */
  readonly hasInteriorDamage: boolean;
}

/** Encodes a payload with its length and checksum. Each synced write is one frame. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  const bytes = Buffer.alloc(HEADER_BYTES + payload.length);
  bytes.writeUInt32BE(MAGIC, 0);
  bytes.writeUInt32BE(payload.length, LENGTH_OFFSET);
  bytes.writeUInt32BE(crc32(payload), CHECKSUM_OFFSET);
  bytes.set(payload, HEADER_BYTES);
  return bytes;
}

/**
 * Decodes the frames of a file. Each frame is written and synced before the next one is
 * started. Damage at the end of the file is therefore a write that a power loss
 * interrupted, while damage before a valid frame is corruption of synced data.
 */
export function decodeFrames(bytes: Uint8Array): Frames {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let validLength = 0;
  for (;;) {
    const next = decodeFrame(file, validLength);
    if (next === undefined) {
      break;
    }
    payloads.push(next.payload);
    validLength = next.end;
  }
  return {
    payloads,
    validLength,
    hasInteriorDamage: containsFrame(file, validLength),
  };
}

function decodeFrame(file: Buffer, start: number): DecodedFrame | undefined {
  if (
    start + HEADER_BYTES > file.length ||
    file.readUInt32BE(start) !== MAGIC
  ) {
    return undefined;
  }
  const length = file.readUInt32BE(start + LENGTH_OFFSET);
  // No frame is empty; the checksum of no bytes is 0, as in a file that a torn write left zeros in.
  if (length === 0) {
    return undefined;
  }
  const end = start + HEADER_BYTES + length;
  if (end > file.length) {
    return undefined;
  }
  const payload = file.subarray(start + HEADER_BYTES, end);
  const checksum = file.readUInt32BE(start + CHECKSUM_OFFSET);
  return crc32(payload) === checksum ? {payload, end} : undefined;
}

/** Whether a valid frame starts at or after `start`. */
function containsFrame(file: Buffer, start: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(MAGIC);
  let at = file.indexOf(magic, start);
  while (at !== -1) {
    if (decodeFrame(file, at) !== undefined) {
      return true;
    }
    at = file.indexOf(magic, at + 1);
  }
  return false;
}
