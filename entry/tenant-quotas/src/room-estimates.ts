import type {QuotaAmount} from '@marigoldspur/deployment';

/** An amount for which there was no room. */
interface Shortage {
  readonly amount: number;
  /** Until when the shortage is assumed. */
  readonly until: number;
  /** When there is expected to be room. */
  readonly roomAt: number;
}

/**
 * Maximum time for which a shortage is assumed, in milliseconds. Units that other entries return may
 * end it sooner than expected.
 */
const MAX_SHORTAGE_MS = 250;
/** Maximum number of shortages that are kept; the oldest are dropped. */
const MAX_SHORTAGES = 1_024;

/**
 * Remembers for a moment for which amounts replicas lacked room, so that a tenant far above its
 * quota does not cost a query for each of its calls. All times are in milliseconds.
 */
export class RoomEstimates {
  private readonly shortages = new Map<string, Shortage>();

  /** Records that there is no room for an amount at one replica, or at all if none is given. */
  recordNoRoom(
    {amount, tenant}: QuotaAmount,
    waitMs: number,
    now: number,
    replica?: string,
  ): void {
    const key = toKey(tenant, replica);
    const until = now + Math.min(waitMs, MAX_SHORTAGE_MS);
    const known = this.shortages.get(key);
    const isLarger =
      known !== undefined && known.until > now && known.amount <= amount;
    if (!isLarger) {
      this.shortages.delete(key);
      this.shortages.set(key, {amount, until, roomAt: now + waitMs});
    }
    for (const oldest of this.shortages.keys()) {
      if (this.shortages.size <= MAX_SHORTAGES) {
        break;
      }
      this.shortages.delete(oldest);
    }
  }

  /** Expected time until there is room for an amount; undefined if there may be room. */
  noRoomMs(
    {amount, tenant}: QuotaAmount,
    now: number,
    replica?: string,
  ): number | undefined {
    const shortage = this.shortages.get(toKey(tenant, replica));
    return shortage !== undefined &&
      shortage.until > now &&
      amount >= shortage.amount
      ? shortage.roomAt - now
      : undefined;
  }
}

function toKey(tenant: string, replica = ''): string {
  return `${replica} ${tenant}`;
}
