/** The whole body of a request. */
export interface RequestBody {
  /** The body in order; empty if it has no bytes. */
  readonly pieces: readonly Buffer[];
  readonly byteLength: number;
  /** Gives its memory back to the budget, once nothing refers to the pieces. */
  release(): void;
}

/** Creates a body that takes nothing from a budget. */
export function createRequestBody(bytes: string | Buffer = ''): RequestBody {
  const piece = Buffer.from(bytes);
  return {
    pieces: piece.length === 0 ? [] : [piece],
    byteLength: piece.length,
    release: () => {},
  };
}
