/** Adds `added` to a count and removes the count if it falls to 0. */
export function addCount(
  counts: Map<string, number>,
  key: string,
  added: number,
): void {
  const sum = (counts.get(key) ?? 0) + added;
  if (sum > 0) {
    counts.set(key, sum);
  } else {
    counts.delete(key);
  }
}
