import type {Quota} from '@marigoldspur/deployment';

/** Units that a call takes from a quota; `tokens` is undefined if the call states none. */
export function quotaCost(quota: Quota, tokens: number | undefined): number {
  return quota.unit === 'tokens' ? (tokens ?? quota.defaultCost) : 1;
}
