import type {SettingsTree} from '@marigoldspur/settings-schema';
import {listTreeLeaves, type TreeLeaf} from './tree-leaves.js';

/** One value that differs between two settings trees. */
export interface TreeDifference {
  /** Path of the level that the value belongs to. */
  readonly path: string;
  /** Name of the setting or of the level's own property. */
  readonly name: string;
  /** Value in the first tree; empty if it has none. */
  readonly before: string;
  /** Value in the second tree; empty if it has none. */
  readonly after: string;
}

/** Returns the values that differ between two settings trees. */
export function diffTrees(
  before: SettingsTree,
  after: SettingsTree,
): TreeDifference[] {
  const oldLeaves = indexByPlace(listTreeLeaves(before));
  const newLeaves = indexByPlace(listTreeLeaves(after));
  const places = [...new Set([...oldLeaves.keys(), ...newLeaves.keys()])];
  return places
    .filter(
      place => oldLeaves.get(place)?.value !== newLeaves.get(place)?.value,
    )
    .map(place => {
      const {path, name} = (oldLeaves.get(place) ?? newLeaves.get(place))!;
      return {
        path,
        name,
        before: oldLeaves.get(place)?.value ?? '',
        after: newLeaves.get(place)?.value ?? '',
      };
    });
}

function indexByPlace(leaves: readonly TreeLeaf[]): Map<string, TreeLeaf> {
  return new Map(leaves.map(leaf => [`${leaf.path} ${leaf.name}`, leaf]));
}
