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
export function listTreeLeaves(tree: SettingsTree): TreeLeaf[] {
  const leaves = listOverrideLeaves('/', tree.settings);
  for (const [customer, level] of Object.entries(tree.customers)) {
    leaves.push(...listCustomerLeaves(`/${customer}`, level));
  }
  return leaves;
}

function listCustomerLeaves(
  path: string,
  customer: SettingsTree['customers'][string],
): TreeLeaf[] {
  const leaves = [createLeaf(path, 'kind', 'customer')];
  leaves.push(...listOverrideLeaves(path, customer.settings));
  for (const [name, service] of Object.entries(customer.services)) {
    const servicePath = `${path}/${name}`;
    leaves.push(createLeaf(servicePath, 'kind', service.kind));
    if (service.kind === 'plain') {
      leaves.push(createLeaf(servicePath, 'pathPrefix', service.pathPrefix));
      if (service.healthPath !== undefined) {
        leaves.push(createLeaf(servicePath, 'healthPath', service.healthPath));
      }
    } else {
      leaves.push(createLeaf(servicePath, 'baseModel', service.baseModel));
      leaves.push(createLeaf(servicePath, 'store', service.store));
    }
    leaves.push(...listOverrideLeaves(servicePath, service.settings));
    const adapters = service.kind === 'model' ? service.adapters : {};
    for (const [adapter, value] of Object.entries(adapters)) {
      leaves.push(...listAdapterLeaves(`${servicePath}/${adapter}`, value));
    }
  }
  return leaves;
}

type AdapterValue = Extract<
  SettingsTree['customers'][string]['services'][string],
  {kind: 'model'}
>['adapters'][string];

function listAdapterLeaves(path: string, adapter: AdapterValue): TreeLeaf[] {
  const leaves = [createLeaf(path, 'kind', 'adapter')];
  leaves.push(...listOverrideLeaves(path, adapter.settings));
  for (const [version, {digest, retired}] of Object.entries(adapter.versions)) {
    const state = retired ? `${digest} retired` : digest;
    leaves.push(createLeaf(path, `version ${version}`, state));
  }
  return leaves;
}

function listOverrideLeaves(path: string, overrides: Overrides): TreeLeaf[] {
  return Object.entries(overrides).map(([name, value]) =>
    createLeaf(path, name, String(value)),
  );
}

function createLeaf(path: string, name: string, value: string): TreeLeaf {
  return {path, name, value};
}
