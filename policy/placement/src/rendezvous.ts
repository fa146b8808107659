import murmurhash from 'murmurhash';

/**
 * Orders items by their rendezvous weight for a key (Thaler and Ravishankar,
 * 1998).
 */
export function rendezvousOrder<Item extends {readonly name: string}>(
  key: string,
  items: readonly Item[],
): Item[] {
  const seed = murmurhash.v3(key);
  return items
    .map(item => ({item, weight: murmurhash.v3(item.name, seed)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({item}) => item);
}

/** More than the number of items that are ranked; weight and index fit in 53 bits together. */
const MAX_ITEMS = 2 ** 20;
const MAX_WEIGHT = 2 ** 32 - 1;

/** Rank of each item in the rendezvous order for a key; 0 is the first. */
export function rendezvousRanks(
  key: string,
  items: ReadonlyArray<{readonly name: string}>,
): Uint32Array {
  const seed = murmurhash.v3(key);
  const sorted = new Float64Array(items.length);
  for (let index = 0; index < items.length; index += 1) {
    const weight = murmurhash.v3(items[index].name, seed);
    sorted[index] = (MAX_WEIGHT - weight) * MAX_ITEMS + index;
  }
  sorted.sort();
  const ranks = new Uint32Array(items.length);
  for (let rank = 0; rank < sorted.length; rank += 1) {
    ranks[sorted[rank] % MAX_ITEMS] = rank;
  }
  return ranks;
}
