import type {Overrides, SettingsTree} from '@marigoldspur/settings-schema';

/** One value of a settings tree. */
export interface TreeLeaf {
  /** Path of the level that the value belongs to. */
  readonly path: string;
  /** Name of the setting or of the level's own property. */
  readonly name: string;
  readonly value: string;
}

/** Returns all values of a settings tree, in the order of the tree. */
export function treeLeaves(tree: SettingsTree): TreeLeaf[] {
  const leaves = overrideLeaves('/', tree.settings);
  for (const [customer, level] of Object.entries(tree.customers)) {
    leaves.push(...customerLeaves(`/${customer}`, level));
  }
  return leaves;
}

function customerLeaves(
  path: string,
  customer: SettingsTree['customers'][string],
): TreeLeaf[] {
  const leaves = [leaf(path, 'kind', 'customer')];
  leaves.push(...overrideLeaves(path, customer.settings));
  for (const [name, service] of Object.entries(customer.services)) {
    const servicePath = `${path}/${name}`;
    leaves.push(leaf(servicePath, 'kind', service.kind));
    if (service.kind === 'plain') {
      leaves.push(leaf(servicePath, 'pathPrefix', service.pathPrefix));
      if (service.healthPath !== undefined) {
        leaves.push(leaf(servicePath, 'healthPath', service.healthPath));
      }
    } else {
      leaves.push(leaf(servicePath, 'baseModel', service.baseModel));
      leaves.push(leaf(servicePath, 'store', service.store));
    }
    leaves.push(...overrideLeaves(servicePath, service.settings));
    const adapters = service.kind === 'model' ? service.adapters : {};
    for (const [adapter, value] of Object.entries(adapters)) {
      leaves.push(...adapterLeaves(`${servicePath}/${adapter}`, value));
    }
  }
  return leaves;
}

type AdapterValue = Extract<
  SettingsTree['customers'][string]['services'][string],
  {kind: 'model'}
>['adapters'][string];

function adapterLeaves(path: string, adapter: AdapterValue): TreeLeaf[] {
  const leaves = [leaf(path, 'kind', 'adapter')];
  leaves.push(...overrideLeaves(path, adapter.settings));
  for (const [version, {digest, retired}] of Object.entries(adapter.versions)) {
    const state = retired ? `${digest} retired` : digest;
    leaves.push(leaf(path, `version ${version}`, state));
  }
  return leaves;
}

function overrideLeaves(path: string, overrides: Overrides): TreeLeaf[] {
  return Object.entries(overrides).map(([name, value]) =>
    leaf(path, name, String(value)),
  );
}

function leaf(path: string, name: string, value: string): TreeLeaf {
  return {path, name, value};
}
