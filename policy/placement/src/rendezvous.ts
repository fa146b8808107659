import {createHash} from 'node:crypto';

/** The candidates in the order of their rendezvous weight for a key (Thaler and Ravishankar, 1998). */
export function rendezvousOrder<Item extends {readonly name: string}>(
  key: string,
  items: readonly Item[],
): Item[] {
  return items
    .map(item => ({item, weight: weightOf(key, item.name)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({item}) => item);
}

function weightOf(key: string, name: string): number {
  return createHash('md5').update(`${key}\n${name}`).digest().readUInt32BE(0);
}
