import {
  DEFAULT_SETTINGS,
  type Adapter,
  type AdapterVersion,
  type Overrides,
  type Service,
  type Settings,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {candidateCustomers} from './adapter-index.js';

/** The effective value of a setting and the level that defines it. */
export interface EffectiveSetting {
  readonly setting: string;
  readonly value: string | number | boolean;
  /** Path of the level that defines the value, or `default`. */
  readonly level: string;
}

/** An adapter and its location in the tree. */
export interface AdapterLocation {
  readonly customer: string;
  readonly service: string;
  readonly adapter: Adapter;
}

/** Returns the effective settings at a path, each with the level that defines it; undefined if the path does not exist. */
export function listEffectiveSettings(
  tree: SettingsTree,
  path: string,
): EffectiveSetting[] | undefined {
  const levels = listLevels(tree, path);
  if (levels === undefined) {
    return undefined;
  }
  return Object.entries(DEFAULT_SETTINGS).map(([setting, value]) => {
    const name = setting as keyof Settings;
    const level = levels.findLast(
      candidate => candidate.overrides[name] !== undefined,
    );
    return {
      setting,
      value: level?.overrides[name] ?? value,
      level: level?.path ?? 'default',
    };
  });
}

/** Returns the effective settings at a path; undefined if the path does not exist. */
export function resolveSettings(
  tree: SettingsTree,
  path: string,
): Settings | undefined {
  const levels = listLevels(tree, path);
  if (levels === undefined) {
    return undefined;
  }
  return Object.assign(
    {},
    DEFAULT_SETTINGS,
    ...levels.map(level => level.overrides),
  );
}

/** Returns a service of a customer; undefined if either does not exist. */
export function findService(
  tree: SettingsTree,
  customer: string,
  service: string,
): Service | undefined {
  return getOwn(getOwn(tree.customers, customer)?.services, service);
}

/** Finds an adapter in the services of a customer, or of all customers if `customer` is undefined. */
export function locateAdapter(
  tree: SettingsTree,
  customer: string | undefined,
  model: AdapterVersion,
): AdapterLocation | undefined {
  const names =
    customer === undefined
      ? candidateCustomers(tree, model.adapter)
      : [customer];
  for (const name of names) {
    const services = getOwn(tree.customers, name)?.services ?? {};
    for (const [service, value] of Object.entries(services)) {
      const adapters = value.kind === 'model' ? value.adapters : {};
      const adapter = getOwn(adapters, model.adapter);
      if (adapter !== undefined) {
        return {customer: name, service, adapter};
      }
    }
  }
  return undefined;
}

interface Level {
  readonly path: string;
  readonly overrides: Overrides;
}

function listLevels(tree: SettingsTree, path: string): Level[] | undefined {
  const [customerName, serviceName, adapterName] = path.split('/').slice(1);
  const levels: Level[] = [{path: '/', overrides: tree.settings}];
  if (!customerName) {
    return levels;
  }
  const customer = getOwn(tree.customers, customerName);
  if (customer === undefined) {
    return undefined;
  }
  levels.push({path: `/${customerName}`, overrides: customer.settings});
  if (serviceName === undefined) {
    return levels;
  }
  const service = getOwn(customer.services, serviceName);
  if (service === undefined) {
    return undefined;
  }
  const servicePath = `/${customerName}/${serviceName}`;
  levels.push({path: servicePath, overrides: service.settings});
  if (adapterName === undefined) {
    return levels;
  }
  const adapters = service.kind === 'model' ? service.adapters : {};
  const adapter = getOwn(adapters, adapterName);
  if (adapter === undefined) {
    return undefined;
  }
  levels.push({
    path: `${servicePath}/${adapterName}`,
    overrides: adapter.settings,
  });
  return levels;
}

/** Returns a version of an adapter; undefined if it does not exist. */
export function findVersion(
  adapter: Adapter | undefined,
  version: string,
): Adapter['versions'][string] | undefined {
  return getOwn(adapter?.versions, version);
}

/** Returns an own property of a record, so that names such as `constructor` are not found. */
export function getOwn<T>(
  record: Record<string, T> | undefined,
  name: string,
): T | undefined {
  return record !== undefined && Object.hasOwn(record, name)
    ? record[name]
    : undefined;
}
