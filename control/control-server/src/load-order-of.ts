import {
  DEFAULT_SETTINGS,
  type Settings,
  type Tree,
} from '@marigoldspur/settings-schema';
import {settingsOf} from '@marigoldspur/settings-tree';

/** The load order of a weight store: that of the first service that loads from it. */
export function loadOrderOf(tree: Tree, store: string): Settings['loadOrder'] {
  for (const [customer, {services}] of Object.entries(tree.customers)) {
    for (const [name, service] of Object.entries(services)) {
      if (service.kind === 'model' && service.store === store) {
        return (settingsOf(tree, `/${customer}/${name}`) ?? DEFAULT_SETTINGS)
          .loadOrder;
      }
    }
  }
  return DEFAULT_SETTINGS.loadOrder;
}
