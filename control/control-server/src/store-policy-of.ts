import type {StorePolicy} from '@marigoldspur/load-permits';
import {DEFAULT_SETTINGS, type Tree} from '@marigoldspur/settings-schema';
import {settingsOf} from '@marigoldspur/settings-tree';

/** The policy of a weight store: that of the first service that loads from it. */
export function storePolicyOf(tree: Tree, store: string): StorePolicy {
  for (const [customer, {services}] of Object.entries(tree.customers)) {
    for (const [name, service] of Object.entries(services)) {
      if (service.kind === 'model' && service.store === store) {
        return settingsOf(tree, `/${customer}/${name}`) ?? DEFAULT_SETTINGS;
      }
    }
  }
  return DEFAULT_SETTINGS;
}
