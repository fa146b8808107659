import type {Member} from '@marigoldspur/messages';

/** Entries of a zone that gather its heartbeats: one, and one that stands by. */
const RELAYS_PER_ZONE = 2;

/** Zones, as the entries in them tell their regions. */
export interface Region {
  /** Base URLs of the relays in the zones of the region. */
  readonly relays: readonly string[];
  /** Zones that have entries, all of them of other regions. */
  readonly foreignZones: ReadonlySet<string>;
}

/** The entries of a zone that gather its heartbeats: the first ones that stay, by name. */
export function selectRelays(
  members: readonly Member[],
  zone: string,
): Member[] {
  return members
    .filter(each => each.role === 'entry' && each.zone === zone)
    .filter(each => !each.leaving)
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .slice(0, RELAYS_PER_ZONE);
}

/** The relays of a region, and what lies outside it. */
export function resolveRegion(
  members: readonly Member[],
  name: string,
): Region {
  const entries = members.filter(each => each.role === 'entry');
  const own = entries.filter(each => each.region === name);
  const ownZones = new Set(own.map(each => each.zone));
  const zones = entries.map(each => each.zone);
  return {
    relays: [...ownZones]
      .flatMap(zone => selectRelays(entries, zone))
      .map(relay => relay.url),
    foreignZones: new Set(zones.filter(zone => !ownZones.has(zone))),
  };
}
