import {Result} from 'true-myth';
import {type Finding, schemaFindings} from '@marigoldspur/faults';
import {
  OVERRIDES_SCHEMA,
  type Adapter,
  type Customer,
  type Edit,
  type Overrides,
  type Service,
  type Tree,
} from '@marigoldspur/settings-schema';
import {handIndexOn} from './adapter-index.js';
import {adapterOf} from './resolve.js';

/** Most findings that one change reports. */
export const MAX_FINDINGS = 100;

/**
 * Applies the edits of one change. Each level that they touch is copied once; the
 * given tree stays as it is and shares all other levels with the result. Reports
 * the findings of all edits together, each placed at its edit.
 */
export function applyEdits(
  tree: Tree,
  edits: readonly Edit[],
): Result<Tree, Finding[]> {
  const findings: Finding[] = [];
  let place = '';
  const draft = new TreeDraft(tree, finding => {
    if (findings.length < MAX_FINDINGS) {
      findings.push({
        place: [place, finding.place].filter(Boolean).join('.'),
        reason: finding.reason,
      });
    }
  });
  edits.forEach((edit, index) => {
    place = `edits.${index}`;
    draft.apply(edit);
  });
  if (findings.length > 0) {
    return Result.err(findings);
  }
  handIndexOn(tree, draft.tree);
  return Result.ok(draft.tree);
}

type Report = (finding: Finding) => void;
type ModelService = Extract<Service, {kind: 'model'}>;

/** A tree under change: levels are copied when they are first written. */
class TreeDraft {
  private current: Tree;
  private readonly owned = new WeakSet<object>();

  constructor(
    tree: Tree,
    private readonly report: Report,
  ) {
    this.current = tree;
  }

  get tree(): Tree {
    return this.current;
  }

  apply(edit: Edit): void {
    switch (edit.edit) {
      case 'set':
        this.override(edit.path, edit.setting, edit.value);
        return;
      case 'unset':
        this.override(edit.path, edit.setting, undefined);
        return;
      case 'create-customer':
        this.createCustomer(edit.customer, edit.value);
        return;
      case 'create-service':
        this.createService(edit.path, edit.value);
        return;
      case 'create-adapter':
        this.createAdapter(edit.path, edit.value);
        return;
      case 'add-version':
        this.addVersion(edit.path, edit.version, edit.value);
        return;
      case 'retire-version':
        this.retireVersion(edit.path, edit.version);
        return;
      case 'remove':
        this.remove(edit.path);
        return;
      case 'replace':
        this.replace(edit.value);
    }
  }

  private override(
    path: string,
    setting: string,
    value: string | number | boolean | undefined,
  ): void {
    if (!Object.hasOwn(OVERRIDES_SCHEMA.shape, setting)) {
      this.reject(setting, 'there is no such setting');
      return;
    }
    const known = OVERRIDES_SCHEMA.safeParse({[setting]: value});
    if (!known.success) {
      schemaFindings(known.error).forEach(this.report);
      return;
    }
    const level = this.level(path);
    if (level !== undefined) {
      level.settings = withoutUndefined({...level.settings, ...known.data});
    }
  }

  private createCustomer(name: string, value: Customer): void {
    if (Object.hasOwn(this.current.customers, name)) {
      this.reject('customer', `customer ${name} exists already`);
      return;
    }
    this.checkCustomer(name, value);
    this.customers()[name] = value;
  }

  private createService(path: string, value: Service): void {
    const [customerName, name, ...rest] = segments(path);
    if (name === undefined || rest.length > 0) {
      this.reject('path', 'must name a customer and a service');
      return;
    }
    const customer = this.customer(customerName);
    if (customer === undefined) {
      return;
    }
    if (Object.hasOwn(customer.services, name)) {
      this.reject('path', `service ${path} exists already`);
      return;
    }
    for (const taken of namesOf(value)) {
      const holder = holderOf(customer, taken);
      if (holder !== undefined) {
        this.reject('value', `${taken} exists already in ${holder}`);
      }
    }
    this.services(customer)[name] = value;
  }

  private createAdapter(path: string, value: Adapter): void {
    const [customer, , name] = segments(path);
    const service = this.modelService(path);
    if (service === undefined) {
      return;
    }
    const taken = adapterOf(this.current, customer, {
      adapter: name,
      version: '',
    });
    if (taken !== undefined) {
      this.reject(
        'path',
        `adapter ${name} exists already in /${customer}/${taken.service}`,
      );
      return;
    }
    this.adapters(service)[name] = value;
  }

  private addVersion(
    path: string,
    version: string,
    value: Adapter['versions'][string],
  ): void {
    const adapter = this.adapter(path);
    if (adapter === undefined) {
      return;
    }
    const existing = Object.hasOwn(adapter.versions, version)
      ? adapter.versions[version]
      : undefined;
    if (existing !== undefined && existing.digest !== value.digest) {
      this.reject('version', `version ${version} exists with another digest`);
      return;
    }
    if (existing?.retired && !value.retired) {
      this.reject('version', `version ${version} is retired and stays so`);
      return;
    }
    adapter.versions = {...adapter.versions, [version]: value};
  }

  private retireVersion(path: string, version: string): void {
    const adapter = this.adapter(path);
    if (adapter === undefined) {
      return;
    }
    if (!Object.hasOwn(adapter.versions, version)) {
      this.reject('version', `no version ${version}`);
      return;
    }
    const retired = {...adapter.versions[version], retired: true};
    adapter.versions = {...adapter.versions, [version]: retired};
  }

  private remove(path: string): void {
    const [customerName, serviceName, adapterName] = segments(path);
    if (customerName === undefined) {
      this.reject('path', 'the root cannot be removed');
      return;
    }
    if (serviceName === undefined) {
      this.removeFrom(this.customers(), customerName);
      return;
    }
    if (adapterName === undefined) {
      const customer = this.customer(customerName);
      if (customer !== undefined) {
        this.removeFrom(this.services(customer), serviceName);
      }
      return;
    }
    const service = this.modelService(path);
    if (service !== undefined) {
      this.removeFrom(this.adapters(service), adapterName);
    }
  }

  private replace(value: Tree): void {
    this.current = value;
    for (const [name, customer] of Object.entries(value.customers)) {
      this.checkCustomer(name, customer);
    }
  }

  /** Reports adapter names and path prefixes that stand twice in a customer. */
  private checkCustomer(customer: string, value: Customer): void {
    const seen = new Set<string>();
    for (const [service, level] of Object.entries(value.services)) {
      for (const name of namesOf(level)) {
        if (seen.has(name)) {
          this.reject(
            `value.customers.${customer}.services.${service}`,
            `${name} stands twice in customer ${customer}`,
          );
        }
        seen.add(name);
      }
    }
  }

  /** The level at a path, free to write; undefined and reported where there is none. */
  private level(path: string): {settings: Overrides} | undefined {
    const [customerName, serviceName, adapterName] = segments(path);
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

  private root(): Tree {
    this.current = this.own(this.current);
    return this.current;
  }

  private customers(): Tree['customers'] {
    const root = this.root();
    root.customers = this.own(root.customers);
    return root.customers;
  }

  private customer(name: string): Customer | undefined {
    return this.entry(this.current.customers, name, () => this.customers());
  }

  private services(customer: Customer): Customer['services'] {
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
  private modelService(path: string): ModelService | undefined {
    const [customerName, serviceName, adapterName] = segments(path);
    if (adapterName === undefined) {
      this.reject('path', 'must name a customer, a service and an adapter');
      return undefined;
    }
    const service = this.service(customerName, serviceName);
    if (service !== undefined && service.kind !== 'model') {
      this.reject('path', `${serviceName} is a plain service`);
      return undefined;
    }
    return service;
  }

  private adapters(service: ModelService): Record<string, Adapter> {
    service.adapters = this.own(service.adapters);
    return service.adapters;
  }

  private adapter(path: string): Adapter | undefined {
    const name = segments(path)[2];
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
      this.reject('path', `${name} does not exist`);
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

  private removeFrom<T>(record: Record<string, T>, name: string): void {
    if (!Object.hasOwn(record, name)) {
      this.reject('path', `${name} does not exist`);
      return;
    }
    delete record[name];
  }

  private reject(place: string, reason: string): void {
    this.report({place, reason});
  }
}

function segments(path: string): string[] {
  return path.split('/').filter(segment => segment !== '');
}

/** What has to be unique in a customer: names of adapters and path prefixes. */
function namesOf(service: Service): string[] {
  return service.kind === 'model'
    ? Object.keys(service.adapters)
    : [`path ${service.pathPrefix}`];
}

/** The service of a customer that holds a unique name. */
function holderOf(customer: Customer, name: string): string | undefined {
  const holder = Object.entries(customer.services).find(([, service]) =>
    service.kind === 'model'
      ? Object.hasOwn(service.adapters, name)
      : `path ${service.pathPrefix}` === name,
  );
  return holder?.[0];
}

function withoutUndefined(settings: Overrides): Overrides {
  return Object.fromEntries(
    Object.entries(settings).filter(([, value]) => value !== undefined),
  );
}
