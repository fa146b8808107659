import type {SettingsTree} from '@marigoldspur/settings-schema';
import {listEffectiveSettings} from '@marigoldspur/settings-tree';

/** A setting in force at a service that some level overrides. */
export interface OverriddenSetting {
  /** Path of the service. */
  readonly path: string;
  readonly setting: string;
  readonly value: string;
  /** Path of the level that the value comes from. */
  readonly level: string;
}

/** Returns the settings in force at each service that some level overrides. */
export function listOverriddenSettings(
  tree: SettingsTree,
): OverriddenSetting[] {
  const paths = Object.entries(tree.customers).flatMap(([customer, level]) =>
    Object.keys(level.services).map(service => `/${customer}/${service}`),
  );
  return paths.flatMap(path =>
    (listEffectiveSettings(tree, path) ?? [])
      .filter(({level}) => level !== 'default')
      .map(({setting, value, level}) => ({
        path,
        setting,
        value: String(value),
        level,
      })),
  );
}
