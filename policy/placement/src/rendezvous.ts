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
