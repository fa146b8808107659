import {randomUUID} from 'node:crypto';
import {ClaimState} from '@marigoldspur/request-claims';

/** Cost of claims. */
export interface ClaimCost {
  readonly claims: number;
  /** Heap usage of one claim without a stored answer, in bytes. */
  readonly heapBytesPerClaim: number;
  /** Size of one claim in a snapshot, in bytes. */
  readonly snapshotBytesPerClaim: number;
  /** Time to take and complete one claim, in microseconds. */
  readonly takeUs: number;
}

const MICROSECONDS_PER_MS = 1_000;
const RETENTION_MS = 86_400_000;

/** Measures the memory and time of completed claims without stored answers; memory is accurate only if Node.js runs with `--expose-gc`. */
export function measureClaims(claims: number): ClaimCost {
  const state = new ClaimState({maxClaims: claims});
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const start = performance.now();
  for (let index = 0; index < claims; index += 1) {
    const claim = copyAsReceived({
      customer: 'callao',
      key: randomUUID(),
      digest: `${randomUUID()}${randomUUID()}`,
      request: randomUUID(),
      entry: 'entry-0',
      boot: 'boot',
      retentionMs: RETENTION_MS,
    });
    state.take(claim, index);
    const {customer, key, request} = claim;
    state.complete({customer, key, request, result: 'completed'}, index);
  }
  const takeUs = ((performance.now() - start) * MICROSECONDS_PER_MS) / claims;
  globalThis.gc?.();
  return {
    claims,
    heapBytesPerClaim: (process.memoryUsage().heapUsed - heapBefore) / claims,
    snapshotBytesPerClaim: JSON.stringify(state.snapshot()).length / claims,
    takeUs,
  };
}

/** Copies a message through JSON, so that its strings are stored in memory like those of a received message, as flat strings rather than concatenations. */
function copyAsReceived<T>(message: T): T {
  return JSON.parse(JSON.stringify(message)) as T;
}
