const BUCKET_MS = 60_000;

/** Groups claims by the minute in which they expire. */
export class ExpiryBuckets {
  private readonly buckets = new Map<number, string[]>();
  private lastTakenBucket = -Infinity;

  /** Adds a claim that expires at `endsAt`, in milliseconds. */
  add(id: string, endsAt: number): void {
    const bucket = Math.floor(endsAt / BUCKET_MS);
    const ids = this.buckets.get(bucket);
    if (ids === undefined) {
      this.buckets.set(bucket, [id]);
    } else {
      ids.push(id);
    }
  }

  /** Removes and returns the claims that expire in any minute before that of `now`, earliest first. */
  takeDue(now: number): string[] {
    const current = Math.floor(now / BUCKET_MS);
    if (current <= this.lastTakenBucket) {
      return [];
    }
    this.lastTakenBucket = current;
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
    this.lastTakenBucket = -Infinity;
  }
}
