/** The whole body of a request. */
export interface RequestBody {
  /** The body in order; empty if it has no bytes. */
  readonly pieces: readonly Buffer[];
  readonly byteLength: number;
  /** Keeps the memory reserved for one that sends the pieces; returns the end of that use. */
  use(): () => void;
  /** Gives the memory back to the budget once all uses have ended. */
  release(): void;
}

/** Creates a body whose memory is given back by `onUnused`. */
export function holdBody(
  pieces: readonly Buffer[],
  byteLength: number,
  onUnused: () => void,
): RequestBody {
  let useCount = 1;
  const startUse = () => {
    let isEnded = false;
    return () => {
      if (!isEnded) {
        isEnded = true;
        useCount -= 1;
        if (useCount === 0) {
          onUnused();
        }
      }
    };
  };
  const release = startUse();
  return {
    pieces,
    byteLength,
    use: () => {
      useCount += 1;
      return startUse();
    },
    release,
  };
}

/** Creates a body that takes nothing from a budget. */
export function createRequestBody(bytes: string | Buffer = ''): RequestBody {
  const piece = Buffer.from(bytes);
  return holdBody(piece.length === 0 ? [] : [piece], piece.length, () => {});
}
