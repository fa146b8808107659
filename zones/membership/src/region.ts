import type {Member} from '@marigoldspur/messages';

/** Number of entries that relay the heartbeats of a zone: one active and one standby. */
const RELAYS_PER_ZONE = 2;

/** A region, derived from the regions that the entries of each zone announce. */
export interface Region {
  /** Base URLs of the relays in the zones of the region. */
  readonly relays: readonly string[];
  /** Zones whose entries all belong to other regions. */
  readonly foreignZones: ReadonlySet<string>;
}

/** Selects the entries that relay the heartbeats of a zone: the first non-leaving ones by ID. */
export function selectRelays(
  members: readonly Member[],
  zone: string,
): Member[] {
  return members
    .filter(member => member.role === 'entry' && member.zone === zone)
    .filter(member => !member.leaving)
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .slice(0, RELAYS_PER_ZONE);
}

/** Returns the relays of a region and the zones outside it. */
export function resolveRegion(
  members: readonly Member[],
  name: string,
): Region {
  const entries = members.filter(member => member.role === 'entry');
  const regionEntries = entries.filter(member => member.region === name);
  const ownZones = new Set(regionEntries.map(member => member.zone));
  const zones = entries.map(member => member.zone);
  return {
    relays: [...ownZones]
      .flatMap(zone => selectRelays(entries, zone))
      .map(relay => relay.url),
    foreignZones: new Set(zones.filter(zone => !ownZones.has(zone))),
  };
}
