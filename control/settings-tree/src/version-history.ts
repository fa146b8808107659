import type {Finding} from '@marigoldspur/faults';
import type {Adapter, Edit, SettingsTree} from '@marigoldspur/settings-schema';
import {getOwn, findService} from './resolve.js';

type Version = Adapter['versions'][string];

/** A version that left the tree, for snapshots: its identity and what it was. */
export type RemovedVersion = readonly [string, Version];

/** Removed versions that are remembered; beyond it, nothing more may be removed. */
const MAX_REMOVED_VERSIONS = 200_000;
/** Parts of an adapter's path, the empty one before the first slash included. */
const ADAPTER_PATH_PARTS = 4;

/**
 * Keeps versions immutable over the whole life of the tree: an identity once given
 * to a digest never names another one, and a retired version stays retired, also
 * over removal and whole-file replacement.
 */
export class VersionHistory {
  private removed = new Map<string, Version>();

  /** What speaks against going from one tree to the next by `edits`. */
  check(
    before: SettingsTree,
    after: SettingsTree,
    edits: readonly Edit[],
  ): Finding[] {
    const {gone, come} = difference(before, after, edits);
    const findings = [...come].flatMap(([identity, version]) =>
      compare(
        identity,
        gone.get(identity) ?? this.removed.get(identity),
        version,
      ),
    );
    const left = [...gone.keys()].filter(identity => !come.has(identity));
    if (this.removed.size + left.length > MAX_REMOVED_VERSIONS) {
      findings.push({
        place: 'edits',
        reason: `more than ${MAX_REMOVED_VERSIONS} versions would have been removed; retire them instead`,
      });
    }
    return findings;
  }

  /** Remembers the versions that left the tree. */
  record(
    before: SettingsTree,
    after: SettingsTree,
    edits: readonly Edit[],
  ): void {
    const {gone, come} = difference(before, after, edits);
    for (const [identity, version] of gone) {
      this.removed.set(identity, version);
    }
    for (const identity of come.keys()) {
      this.removed.delete(identity);
    }
  }

  /** The remembered versions. */
  snapshot(): RemovedVersion[] {
    return [...this.removed];
  }

  /** Takes over a snapshot. */
  restore(snapshot: readonly RemovedVersion[]): void {
    this.removed = new Map(snapshot);
  }
}

function compare(
  identity: string,
  known: Version | undefined,
  version: Version,
): Finding[] {
  if (known === undefined) {
    return [];
  }
  if (known.digest !== version.digest) {
    return [
      {place: identity, reason: 'this version was given to another digest'},
    ];
  }
  return known.retired && !version.retired
    ? [{place: identity, reason: 'this version is retired and stays so'}]
    : [];
}

interface Difference {
  /** Versions of the earlier tree that are not the same in the later one. */
  readonly gone: Map<string, Version>;
  /** Versions of the later tree that are not the same in the earlier one. */
  readonly come: Map<string, Version>;
}

/** Compares the versions that a change's edits can touch. */
function difference(
  before: SettingsTree,
  after: SettingsTree,
  edits: readonly Edit[],
): Difference {
  const gone = new Map<string, Version>();
  const come = new Map<string, Version>();
  const paths = touchedAdapters(edits);
  if (paths === 'all') {
    collect(before, after, gone);
    collect(after, before, come);
    return {gone, come};
  }
  for (const path of paths) {
    const earlier = adapterAt(before, path);
    const later = adapterAt(after, path);
    const [, customer, , adapter] = path.split('/');
    collectVersions(`/${customer}/${adapter}`, earlier, later, gone);
    collectVersions(`/${customer}/${adapter}`, later, earlier, come);
  }
  return {gone, come};
}

/** Paths of the adapters whose versions the edits may add or remove. */
function touchedAdapters(edits: readonly Edit[]): Set<string> | 'all' {
  const paths = new Set<string>();
  for (const edit of edits) {
    switch (edit.edit) {
      case 'set':
      case 'unset':
      case 'retire-version':
        break;
      case 'add-version':
      case 'create-adapter':
        paths.add(edit.path);
        break;
      case 'remove':
        if (edit.path.split('/').length < ADAPTER_PATH_PARTS) {
          return 'all';
        }
        paths.add(edit.path);
        break;
      default:
        return 'all';
    }
  }
  return paths;
}

function adapterAt(tree: SettingsTree, path: string): Adapter | undefined {
  const [, customer, service, adapter] = path.split('/');
  const level = findService(tree, customer, service);
  return level?.kind === 'model' ? getOwn(level.adapters, adapter) : undefined;
}

/** Puts the versions of `tree` that `other` doesn't share into `found`. */
function collect(
  tree: SettingsTree,
  other: SettingsTree,
  found: Map<string, Version>,
): void {
  for (const [customer, level] of Object.entries(tree.customers)) {
    if (level === getOwn(other.customers, customer)) {
      continue;
    }
    for (const [service, value] of Object.entries(level.services)) {
      const peer = findService(other, customer, service);
      const peers = peer?.kind === 'model' ? peer.adapters : {};
      if (value.kind !== 'model' || value.adapters === peers) {
        continue;
      }
      for (const [name, adapter] of Object.entries(value.adapters)) {
        const twin = getOwn(peers, name);
        if (adapter !== twin) {
          collectVersions(`/${customer}/${name}`, adapter, twin, found);
        }
      }
    }
  }
}

function collectVersions(
  adapterPath: string,
  adapter: Adapter | undefined,
  twin: Adapter | undefined,
  found: Map<string, Version>,
): void {
  for (const [version, value] of Object.entries(adapter?.versions ?? {})) {
    if (value !== getOwn(twin?.versions, version)) {
      found.set(`${adapterPath}@${version}`, value);
    }
  }
}
