import type {Deployment, Tenant} from '@marigoldspur/deployment';
import {
  describeLimits,
  describeModel,
  describeRoute,
  describeService,
  describeTenant,
  type Description,
} from './describe-entries.js';
import {createChange, type ReviewFinding} from './review-finding.js';

interface Named {
  readonly name: string;
}

/** The entry of one name in two deployments; undefined where there is none. */
interface Pair<Entry> {
  readonly place: string;
  readonly before: Entry | undefined;
  readonly after: Entry | undefined;
}

/** Returns the differences between two deployments; of keys only how many differ. */
export function findChanges(
  before: Deployment,
  after: Deployment,
): ReviewFinding[] {
  const services = pairByName('services', before.services, after.services);
  return [
    ...pairByName('routes', before.routes, after.routes).flatMap(pair =>
      compareEntries(pair, describeRoute),
    ),
    ...services.flatMap(pair => [
      ...compareEntries(pair, describeService),
      ...pairByName(
        `${pair.place}.models`,
        pair.before?.engine?.models ?? [],
        pair.after?.engine?.models ?? [],
      ).flatMap(model => compareEntries(model, describeModel)),
    ]),
    ...compareDescriptions(
      'limits',
      describeLimits(before.limits),
      describeLimits(after.limits),
    ),
    ...compareTenants(before.tenants, after.tenants),
  ];
}

function compareTenants(
  before: readonly Tenant[] | undefined,
  after: readonly Tenant[] | undefined,
): ReviewFinding[] {
  const findings = pairByName('tenants', before ?? [], after ?? []).flatMap(
    pair => [...compareEntries(pair, describeTenant), ...compareKeys(pair)],
  );
  if ((before === undefined) !== (after === undefined)) {
    const need = after === undefined ? 'no key any more' : 'a key from now on';
    const reason = `requests on routes that are not public need ${need}`;
    findings.push(createChange('tenants', reason));
  }
  return findings;
}

/** States only numbers, because keys are secrets. */
function compareKeys({place, before, after}: Pair<Tenant>): ReviewFinding[] {
  const oldKeys = new Set(before?.keys);
  const newKeys = new Set(after?.keys);
  const added = [...newKeys].filter(key => !oldKeys.has(key)).length;
  const removed = [...oldKeys].filter(key => !newKeys.has(key)).length;
  return added + removed === 0
    ? []
    : [createChange(place, `keys: ${added} added, ${removed} removed`)];
}

function compareEntries<Entry>(
  {place, before, after}: Pair<Entry>,
  describe: (entry: Entry) => Description,
): ReviewFinding[] {
  if (before === undefined) {
    return [createChange(place, 'is added')];
  }
  if (after === undefined) {
    return [createChange(place, 'is removed')];
  }
  return compareDescriptions(place, describe(before), describe(after));
}

function compareDescriptions(
  place: string,
  before: Description,
  after: Description,
): ReviewFinding[] {
  const labels = [...new Set([...before.keys(), ...after.keys()])];
  return labels
    .filter(label => before.get(label) !== after.get(label))
    .map(label => {
      const values = `${before.get(label) ?? 'none'} becomes ${after.get(label) ?? 'none'}`;
      return createChange(place, `${label}: ${values}`);
    });
}

function pairByName<Entry extends Named>(
  place: string,
  before: readonly Entry[],
  after: readonly Entry[],
): Pair<Entry>[] {
  const oldEntries = indexByName(before);
  const newEntries = indexByName(after);
  const names = [...new Set([...newEntries.keys(), ...oldEntries.keys()])];
  return names.map(name => ({
    place: `${place}.${name}`,
    before: oldEntries.get(name),
    after: newEntries.get(name),
  }));
}

/** Indexes entries by name; further ones of the same name get a number, as names may repeat. */
function indexByName<Entry extends Named>(
  entries: readonly Entry[],
): Map<string, Entry> {
  const index = new Map<string, Entry>();
  for (const entry of entries) {
    let name = entry.name;
    for (let number = 2; index.has(name); number += 1) {
      name = `${entry.name} (${number})`;
    }
    index.set(name, entry);
  }
  return index;
}
