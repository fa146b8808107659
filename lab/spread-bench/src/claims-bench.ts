import {randomUUID} from 'node:crypto';
import {ClaimState} from '@marigoldspur/request-claims';

/** What claims take. */
export interface ClaimCost {
  readonly claims: number;
  /** Heap of one claim without a kept answer, in bytes. */
  readonly heapBytesPerClaim: number;
  /** One claim in a snapshot, in bytes. */
  readonly snapshotBytesPerClaim: number;
  /** Deciding one claim, in microseconds. */
  readonly takeUs: number;
}

const MS_TO_US = 1_000;
const RETENTION_MS = 86_400_000;

/** Measures ended claims without answers. */
export function measureClaims(claims: number): ClaimCost {
  const state = new ClaimState({maxClaims: claims});
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const start = performance.now();
  for (let index = 0; index < claims; index += 1) {
    const key = randomUUID();
    const request = randomUUID();
    state.take(
      {
        customer: 'callao',
        key,
        digest: randomUUID() + randomUUID(),
        request,
        entry: 'entry-0',
        boot: 'boot',
        retentionMs: RETENTION_MS,
      },
      index,
    );
    const result = 'completed' as const;
    state.complete({customer: 'callao', key, request, result}, index);
  }
  const takeUs = ((performance.now() - start) * MS_TO_US) / claims;
  globalThis.gc?.();
  return {
    claims,
    heapBytesPerClaim: (process.memoryUsage().heapUsed - before) / claims,
    snapshotBytesPerClaim: JSON.stringify(state.snapshot()).length / claims,
    takeUs,
  };
}
