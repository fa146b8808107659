import type {Finding} from '@marigoldspur/faults';
import type {
  Adapter,
  Customer,
  Overrides,
  Service,
  SettingsTree,
} from '@marigoldspur/settings-schema';

/** Receives each finding. */
export type FindingReporter = (finding: Finding) => void;

type ModelService = Extract<Service, {kind: 'model'}>;

/**
 * A settings tree being edited. Levels are copied on first access, so the original tree
 * is not modified. Access to a level that does not exist is reported as a finding.
 */
export class TreeDraft {
  private current: SettingsTree;
  private readonly copies = new WeakSet<object>();

  constructor(
    tree: SettingsTree,
    private readonly report: FindingReporter,
  ) {
    this.current = tree;
  }

  /** The current tree. */
  get tree(): SettingsTree {
    return this.current;
  }

  /** Replaces the whole tree. */
  replace(tree: SettingsTree): void {
    this.current = tree;
  }

  /** Returns the level at a path for writing; undefined, with a finding, if it does not exist. */
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
    this.current = this.copyOnce(this.current);
    return this.current;
  }

  /** Returns the customers for writing. */
  customers(): SettingsTree['customers'] {
    const root = this.root();
    root.customers = this.copyOnce(root.customers);
    return root.customers;
  }

  /** Returns a customer for writing; undefined, with a finding, if it does not exist. */
  customer(name: string): Customer | undefined {
    return this.entry(this.current.customers, name, () => this.customers());
  }

  /** Returns the services of a customer for writing. */
  services(customer: Customer): Customer['services'] {
    customer.services = this.copyOnce(customer.services);
    return customer.services;
  }

  private service(customerName: string, name: string): Service | undefined {
    const customer = this.customer(customerName);
    return customer === undefined
      ? undefined
      : this.entry(customer.services, name, () => this.services(customer));
  }

  /** Returns the model service of an adapter path for writing; undefined, with a finding, if it does not exist. */
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

  /** Returns the adapters of a model service for writing. */
  adapters(service: ModelService): Record<string, Adapter> {
    service.adapters = this.copyOnce(service.adapters);
    return service.adapters;
  }

  /** Returns the adapter at a path for writing; undefined, with a finding, if it does not exist. */
  adapter(path: string): Adapter | undefined {
    const name = splitPath(path)[2];
    const service = this.modelService(path);
    return service === undefined
      ? undefined
      : this.entry(service.adapters, name, () => this.adapters(service));
  }

  /** Returns an entry of a record for writing; `copyRecord` copies the record first. */
  private entry<T extends object>(
    record: Record<string, T>,
    name: string,
    copyRecord: () => Record<string, T>,
  ): T | undefined {
    if (!Object.hasOwn(record, name)) {
      this.addFinding('path', `${name} does not exist`);
      return undefined;
    }
    const copy = copyRecord();
    copy[name] = this.copyOnce(copy[name]);
    return copy[name];
  }

  private copyOnce<T extends object>(level: T): T {
    if (this.copies.has(level)) {
      return level;
    }
    const copy = {...level};
    this.copies.add(copy);
    return copy;
  }

  /** Reports a finding at a path within the edit. */
  addFinding(place: string, reason: string): void {
    this.report({place, reason});
  }
}

/** Returns the names of the levels on a path, below the root. */
export function splitPath(path: string): string[] {
  return path.split('/').filter(segment => segment !== '');
}
