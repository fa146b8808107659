import type {Finding} from '@marigoldspur/faults';
import type {Adapter, Edit, SettingsTree} from '@marigoldspur/settings-schema';
import {getOwn, findService} from './resolve.js';

type Version = Adapter['versions'][string];

/** A version removed from the tree, as stored in snapshots: its identity and its last value. */
export type RemovedVersion = readonly [string, Version];

/** Maximum number of remembered removed versions; beyond it no version can be removed. */
const MAX_REMOVED_VERSIONS = 200_000;
/** Number of parts of an adapter path, including the empty one before the first slash. */
const ADAPTER_PATH_PARTS = 4;

/**
 * Keeps versions immutable for the lifetime of the tree: an identity assigned to a
 * digest never refers to another digest, and a retired version stays retired, even
 * after a removal or a replacement of the whole tree.
 */
export class VersionHistory {
  private removed = new Map<string, Version>();

  /** Returns the findings that forbid a transition from one tree to the next by `edits`. */
  check(
    before: SettingsTree,
    after: SettingsTree,
    edits: readonly Edit[],
  ): Finding[] {
    const {removed, added} = diffVersions(before, after, edits);
    const findings = [...added].flatMap(([identity, version]) =>
      findVersionConflicts(
        identity,
        removed.get(identity) ?? this.removed.get(identity),
        version,
      ),
    );
    const newlyRemoved = [...removed.keys()].filter(
      identity => !added.has(identity),
    );
    if (this.removed.size + newlyRemoved.length > MAX_REMOVED_VERSIONS) {
      findings.push({
        place: 'edits',
        reason: `more than ${MAX_REMOVED_VERSIONS} versions would have been removed; retire them instead`,
      });
    }
    return findings;
  }

  /** Records the versions that a transition removed. */
  record(
    before: SettingsTree,
    after: SettingsTree,
    edits: readonly Edit[],
  ): void {
    const {removed, added} = diffVersions(before, after, edits);
    for (const [identity, version] of removed) {
      this.removed.set(identity, version);
    }
    for (const identity of added.keys()) {
      this.removed.delete(identity);
    }
  }

  /** Returns the removed versions. */
  snapshot(): RemovedVersion[] {
    return [...this.removed];
  }

  /** Replaces the removed versions with a snapshot. */
  restore(snapshot: readonly RemovedVersion[]): void {
    this.removed = new Map(snapshot);
  }
}

function findVersionConflicts(
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
  /** Versions of the earlier tree that are missing or changed in the later one. */
  readonly removed: Map<string, Version>;
  /** Versions of the later tree that are missing or changed in the earlier one. */
  readonly added: Map<string, Version>;
}

/** Compares the versions that the edits of a change can affect. */
function diffVersions(
  before: SettingsTree,
  after: SettingsTree,
  edits: readonly Edit[],
): Difference {
  const removed = new Map<string, Version>();
  const added = new Map<string, Version>();
  const paths = listAffectedAdapters(edits);
  if (paths === 'all') {
    collectDifferences(before, after, removed);
    collectDifferences(after, before, added);
    return {removed, added};
  }
  for (const path of paths) {
    const earlier = adapterAt(before, path);
    const later = adapterAt(after, path);
    const [, customer, , adapter] = path.split('/');
    collectVersionDifferences(
      `/${customer}/${adapter}`,
      earlier,
      later,
      removed,
    );
    collectVersionDifferences(`/${customer}/${adapter}`, later, earlier, added);
  }
  return {removed, added};
}

/** Returns the paths of the adapters whose versions the edits may add or remove. */
function listAffectedAdapters(edits: readonly Edit[]): Set<string> | 'all' {
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

/** Adds the versions of `tree` that are not shared by `other` to `found`. */
function collectDifferences(
  tree: SettingsTree,
  other: SettingsTree,
  found: Map<string, Version>,
): void {
  for (const [customer, level] of Object.entries(tree.customers)) {
    if (level === getOwn(other.customers, customer)) {
      continue;
    }
    for (const [service, value] of Object.entries(level.services)) {
      const otherService = findService(other, customer, service);
      const otherAdapters =
        otherService?.kind === 'model' ? otherService.adapters : {};
      if (value.kind !== 'model' || value.adapters === otherAdapters) {
        continue;
      }
      for (const [name, adapter] of Object.entries(value.adapters)) {
        const otherAdapter = getOwn(otherAdapters, name);
        if (adapter !== otherAdapter) {
          collectVersionDifferences(
            `/${customer}/${name}`,
            adapter,
            otherAdapter,
            found,
          );
        }
      }
    }
  }
}

function collectVersionDifferences(
  adapterPath: string,
  adapter: Adapter | undefined,
  otherAdapter: Adapter | undefined,
  found: Map<string, Version>,
): void {
  for (const [version, value] of Object.entries(adapter?.versions ?? {})) {
    if (value !== getOwn(otherAdapter?.versions, version)) {
      found.set(`${adapterPath}@${version}`, value);
    }
  }
}
