import type {SettingsTree} from '@marigoldspur/settings-schema';
import {treeLeaves, type TreeLeaf} from './tree-leaves.js';

/** One value that differs between two settings trees. */
export interface TreeDifference {
  readonly path: string;
  readonly name: string;
  /** Value in the first tree; empty where it has none. */
  readonly before: string;
  /** Value in the second tree; empty where it has none. */
  readonly after: string;
}

/** The values that differ between two settings trees. */
export function diffTrees(
  before: SettingsTree,
  after: SettingsTree,
): TreeDifference[] {
  const old = byPlace(treeLeaves(before));
  const young = byPlace(treeLeaves(after));
  const places = [...new Set([...old.keys(), ...young.keys()])];
  return places
    .filter(place => old.get(place)?.value !== young.get(place)?.value)
    .map(place => {
      const {path, name} = (old.get(place) ?? young.get(place))!;
      return {
        path,
        name,
        before: old.get(place)?.value ?? '',
        after: young.get(place)?.value ?? '',
      };
    });
}

function byPlace(leaves: readonly TreeLeaf[]): Map<string, TreeLeaf> {
  return new Map(leaves.map(leaf => [`${leaf.path} ${leaf.name}`, leaf]));
}
