import type {StorePolicy} from '@marigoldspur/load-permits';
import {
  DEFAULT_SETTINGS,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {resolveSettings} from '@marigoldspur/settings-tree';

/** Returns the policy of a weight store, which is that of the first service that loads from it. */
export function findStorePolicy(
  tree: SettingsTree,
  store: string,
): StorePolicy {
  for (const [customer, {services}] of Object.entries(tree.customers)) {
    for (const [key, service] of Object.entries(services)) {
      if (service.kind === 'model' && service.store === store) {
        return resolveSettings(tree, `/${customer}/${key}`) ?? DEFAULT_SETTINGS;
      }
    }
  }
  return DEFAULT_SETTINGS;
}
