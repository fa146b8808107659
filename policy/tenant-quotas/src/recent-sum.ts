/** Units that were counted in a slot of time. */
interface Slot {
  readonly index: number;
  amount: number;
}

/** Number of slots of a window; amounts are forgotten up to one slot late. */
const SLOTS_PER_WINDOW = 32;

/** Sum of the units that were counted within a sliding window. All times are in milliseconds. */
export class RecentSum {
  private slots: Slot[] = [];
  private readonly slotMs: number;

  constructor(private readonly windowMs: number) {
    this.slotMs = windowMs / SLOTS_PER_WINDOW;
  }

  add(amount: number, now: number): void {
    this.forget(now);
    const index = Math.floor(now / this.slotMs);
    const newest = this.slots.at(-1);
    if (newest !== undefined && newest.index >= index) {
      newest.amount += amount;
    } else {
      this.slots.push({index, amount});
    }
  }

  /** Removes units, first those that would be forgotten first, so that the sum is never too small. */
  remove(amount: number, now: number): void {
    this.forget(now);
    let left = amount;
    for (const slot of this.slots) {
      const removed = Math.min(left, slot.amount);
      slot.amount -= removed;
      left -= removed;
    }
  }

  sum(now: number): number {
    this.forget(now);
    return this.slots.reduce((sum, {amount}) => sum + amount, 0);
  }

  private forget(now: number): void {
    while (this.slots.length > 0 && this.forgottenAt(this.slots[0]) <= now) {
      this.slots.shift();
    }
  }

  private forgottenAt({index}: Slot): number {
    return (index + 1) * this.slotMs + this.windowMs;
  }
}
