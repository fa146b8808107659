import type {Quota} from '@marigoldspur/deployment';

/** By how much the use of all entries together may exceed a quota. */
export interface QuotaTolerance {
  /** Window in which the use is counted, in milliseconds. */
  readonly windowMs: number;
  /** Share of the quota. */
  readonly ratio: number;
  /** Units beyond that share. */
  readonly slack: number;
}

/** Time after its request within which a granted unit is used, in milliseconds. */
export const USE_WITHIN_MS = 300;
/**
 * Share of the slack that entries may use while replicas do not answer. The rest of the tolerance stays
 * with the replicas: with less of it, calls within the quota are refused because others hold parts of it.
 */
const RESERVE_SHARE = 0.5;
const MS_PER_SECOND = 1_000;

/** Units that the entries together may use in a window while replicas do not answer. */
export function reserveUnits({slack}: QuotaTolerance): number {
  return RESERVE_SHARE * slack;
}

/**
 * Units by which the grants of the replicas may exceed a quota in a window: its tolerance less the
 * reserve of the entries and the units that are used late.
 */
export function spareUnits(
  {burst, perSecond}: Quota,
  tolerance: QuotaTolerance,
): number {
  const {ratio, slack, windowMs} = tolerance;
  const quota = (perSecond * windowMs) / MS_PER_SECOND + burst;
  const usedLate = (perSecond * USE_WITHIN_MS) / MS_PER_SECOND;
  const reserved = reserveUnits(tolerance);
  return Math.max(0, ratio * quota + slack - reserved - usedLate);
}
