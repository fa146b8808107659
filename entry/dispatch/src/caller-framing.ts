import type {BodyFraming} from '@marigoldspur/http-link';

/** What decides how the caller is told the end of a response. */
export interface FramingFacts {
  readonly targetFraming: BodyFraming;
  /** Whether the body shows by itself that it is complete, as a stream of events does. */
  readonly endsByContent: boolean;
  /** Whether the caller accepts chunks; HTTP/1.0 has none. */
  readonly acceptsChunks: boolean;
  /** Whether the length that the target states is that of the whole body that the caller gets. */
  readonly keepsLength: boolean;
}

/** How the caller is told the end of a response. */
export interface CallerFraming {
  /** If the response starts before it is complete; undefined if it must not. */
  readonly early: Exclude<BodyFraming, 'close'> | undefined;
  /** If it starts once it is complete. */
  readonly complete: BodyFraming;
}

/**
 * Chooses how the caller is told the end of a response: never more surely than by the target. A
 * response that only the end of its connection ends must not start early: in chunks it would claim
 * to be complete, and without them the end of this process would look like its end.
 */
export function chooseCallerFraming({
  acceptsChunks,
  endsByContent,
  keepsLength,
  targetFraming,
}: FramingFacts): CallerFraming {
  if (targetFraming === 'none') {
    return {early: 'none', complete: 'none'};
  }
  if (targetFraming === 'close' && !endsByContent) {
    return {early: undefined, complete: 'close'};
  }
  if (acceptsChunks) {
    return {early: 'chunks', complete: 'length'};
  }
  const hasLength = targetFraming === 'length' && keepsLength;
  return {early: hasLength ? 'length' : undefined, complete: 'length'};
}
