const BUCKET_MS = 60_000;

/** Finds, minute by minute, the claims whose time is over. */
export class ExpiryBuckets {
  private readonly buckets = new Map<number, string[]>();
  private swept = -Infinity;

  /** Takes note that a claim ends at `endsAt`, in milliseconds. */
  add(id: string, endsAt: number): void {
    const bucket = Math.floor(endsAt / BUCKET_MS);
    const ids = this.buckets.get(bucket);
    if (ids === undefined) {
      this.buckets.set(bucket, [id]);
    } else {
      ids.push(id);
    }
  }

  /** Removes and returns what ended in the whole minutes before `now`, the earliest first. */
  takeDue(now: number): string[] {
    const current = Math.floor(now / BUCKET_MS);
    if (current <= this.swept) {
      return [];
    }
    this.swept = current;
    const due = [...this.buckets.keys()].filter(bucket => bucket < current);
    return due
      .sort((a, b) => a - b)
      .flatMap(bucket => {
        const ids = this.buckets.get(bucket)!;
        this.buckets.delete(bucket);
        return ids;
      });
  }

  clear(): void {
    this.buckets.clear();
    this.swept = -Infinity;
  }
}
