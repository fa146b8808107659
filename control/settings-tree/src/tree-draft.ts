import type {Finding} from '@marigoldspur/faults';
import type {
  Adapter,
  Customer,
  Overrides,
  Service,
  SettingsTree,
} from '@marigoldspur/settings-schema';

/** Takes a finding. */
export type FindingReporter = (finding: Finding) => void;

type ModelService = Extract<Service, {kind: 'model'}>;

/**
 * A tree under change. Levels are copied when they are first asked for, so that the
 * tree it began with stays as it is; a level that does not exist is reported.
 */
export class TreeDraft {
  private current: SettingsTree;
  private readonly owned = new WeakSet<object>();

  constructor(
    tree: SettingsTree,
    private readonly report: FindingReporter,
  ) {
    this.current = tree;
  }

  /** The tree as it is now. */
  get tree(): SettingsTree {
    return this.current;
  }

  /** Puts another tree in place of all of it. */
  replace(tree: SettingsTree): void {
    this.current = tree;
  }

  /** The level at a path, free to write; undefined and reported where there is none. */
  level(path: string): {settings: Overrides} | undefined {
    const [customerName, serviceName, adapterName] = splitPath(path);
    if (customerName === undefined) {
      return this.root();
    }
    if (serviceName === undefined) {
      return this.customer(customerName);
    }
    return adapterName === undefined
      ? this.service(customerName, serviceName)
      : this.adapter(path);
  }

  private root(): SettingsTree {
    this.current = this.own(this.current);
    return this.current;
  }

  /** The customers, free to write. */
  customers(): SettingsTree['customers'] {
    const root = this.root();
    root.customers = this.own(root.customers);
    return root.customers;
  }

  /** A customer, free to write. */
  customer(name: string): Customer | undefined {
    return this.entry(this.current.customers, name, () => this.customers());
  }

  /** The services of a customer, free to write. */
  services(customer: Customer): Customer['services'] {
    customer.services = this.own(customer.services);
    return customer.services;
  }

  private service(customerName: string, name: string): Service | undefined {
    const customer = this.customer(customerName);
    return customer === undefined
      ? undefined
      : this.entry(customer.services, name, () => this.services(customer));
  }

  /** The model service above the path of an adapter. */
  modelService(path: string): ModelService | undefined {
    const [customerName, serviceName, adapterName] = splitPath(path);
    if (adapterName === undefined) {
      this.addFinding('path', 'must name a customer, a service and an adapter');
      return undefined;
    }
    const service = this.service(customerName, serviceName);
    if (service !== undefined && service.kind !== 'model') {
      this.addFinding('path', `${serviceName} is a plain service`);
      return undefined;
    }
    return service;
  }

  /** The adapters of a model service, free to write. */
  adapters(service: ModelService): Record<string, Adapter> {
    service.adapters = this.own(service.adapters);
    return service.adapters;
  }

  /** The adapter at a path, free to write. */
  adapter(path: string): Adapter | undefined {
    const name = splitPath(path)[2];
    const service = this.modelService(path);
    return service === undefined
      ? undefined
      : this.entry(service.adapters, name, () => this.adapters(service));
  }

  /** An entry of a record, free to write; `writable` copies the record first. */
  private entry<T extends object>(
    record: Record<string, T>,
    name: string,
    writable: () => Record<string, T>,
  ): T | undefined {
    if (!Object.hasOwn(record, name)) {
      this.addFinding('path', `${name} does not exist`);
      return undefined;
    }
    const copy = writable();
    copy[name] = this.own(copy[name]);
    return copy[name];
  }

  private own<T extends object>(level: T): T {
    if (this.owned.has(level)) {
      return level;
    }
    const copy = {...level};
    this.owned.add(copy);
    return copy;
  }

  /** Reports what is wrong, at a place of the edit. */
  addFinding(place: string, reason: string): void {
    this.report({place, reason});
  }
}

/** The names of the levels that a path goes through, below the root. */
export function splitPath(path: string): string[] {
  return path.split('/').filter(segment => segment !== '');
}
