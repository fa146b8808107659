import type {SettingsTree} from '@marigoldspur/settings-schema';
import {treeLeaves, type TreeLeaf} from './tree-leaves.js';

/** One value that differs between two settings trees. */
export interface TreeDifference {
  readonly path: string;
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
  const oldLeaves = indexByPlace(treeLeaves(before));
  const newLeaves = indexByPlace(treeLeaves(after));
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
