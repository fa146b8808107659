import {Result} from 'true-myth';
import {type Finding, schemaFindings} from '@marigoldspur/faults';
import {
  OVERRIDES_SCHEMA,
  type Adapter,
  type Customer,
  type Edit,
  type Overrides,
  type Service,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {transferIndex} from './adapter-index.js';
import {locateAdapter, findVersion} from './resolve.js';
import {splitPath, TreeDraft} from './tree-draft.js';
import {
  findDuplicateNames,
  findNameOwner,
  listUniqueNames,
} from './unique-names.js';

/** Maximum number of findings reported for one change. */
export const MAX_FINDINGS = 100;

/**
 * Applies the edits of one change. Each modified level is copied once; the given tree
 * is not modified and shares all other levels with the result. Returns the findings of
 * all edits together, each with the path of its edit.
 */
export function applyEdits(
  tree: SettingsTree,
  edits: readonly Edit[],
): Result<SettingsTree, Finding[]> {
  const findings: Finding[] = [];
  let editPath = '';
  const draft = new TreeDraft(tree, finding => {
    if (findings.length < MAX_FINDINGS) {
      findings.push({
        place: [editPath, finding.place].filter(Boolean).join('.'),
        reason: finding.reason,
      });
    }
  });
  const applier = new EditApplier(draft);
  edits.forEach((edit, index) => {
    editPath = `edits.${index}`;
    applier.apply(edit);
  });
  if (findings.length > 0) {
    return Result.err(findings);
  }
  transferIndex(tree, draft.tree);
  return Result.ok(draft.tree);
}

/** Applies edits to a draft and reports those that are invalid. */
class EditApplier {
  constructor(private readonly draft: TreeDraft) {}

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
      this.draft.addFinding(setting, 'there is no such setting');
      return;
    }
    const parsed = OVERRIDES_SCHEMA.safeParse({[setting]: value});
    if (!parsed.success) {
      schemaFindings(parsed.error).forEach(({place, reason}) =>
        this.draft.addFinding(place, reason),
      );
      return;
    }
    const level = this.draft.level(path);
    if (level !== undefined) {
      level.settings = withoutUndefined({...level.settings, ...parsed.data});
    }
  }

  private createCustomer(name: string, value: Customer): void {
    if (Object.hasOwn(this.draft.tree.customers, name)) {
      this.draft.addFinding('customer', `customer ${name} exists already`);
      return;
    }
    this.checkCustomer(name, value);
    this.draft.customers()[name] = value;
  }

  private createService(path: string, value: Service): void {
    const [customerName, name, ...rest] = splitPath(path);
    if (name === undefined || rest.length > 0) {
      this.draft.addFinding('path', 'must name a customer and a service');
      return;
    }
    const customer = this.draft.customer(customerName);
    if (customer === undefined) {
      return;
    }
    if (Object.hasOwn(customer.services, name)) {
      this.draft.addFinding('path', `service ${path} exists already`);
      return;
    }
    for (const taken of listUniqueNames(value)) {
      const holder = findNameOwner(customer, taken);
      if (holder !== undefined) {
        this.draft.addFinding('value', `${taken} exists already in ${holder}`);
      }
    }
    this.draft.services(customer)[name] = value;
  }

  private createAdapter(path: string, value: Adapter): void {
    const [customer, , name] = splitPath(path);
    const service = this.draft.modelService(path);
    if (service === undefined) {
      return;
    }
    const taken = locateAdapter(this.draft.tree, customer, {
      adapter: name,
      version: '',
    });
    if (taken !== undefined) {
      this.draft.addFinding(
        'path',
        `adapter ${name} exists already in /${customer}/${taken.service}`,
      );
      return;
    }
    this.draft.adapters(service)[name] = value;
  }

  private addVersion(
    path: string,
    version: string,
    value: Adapter['versions'][string],
  ): void {
    const adapter = this.draft.adapter(path);
    if (adapter === undefined) {
      return;
    }
    const existing = findVersion(adapter, version);
    if (existing !== undefined && existing.digest !== value.digest) {
      this.draft.addFinding(
        'version',
        `version ${version} exists with another digest`,
      );
      return;
    }
    if (existing?.retired && !value.retired) {
      this.draft.addFinding(
        'version',
        `version ${version} is retired and stays so`,
      );
      return;
    }
    adapter.versions = {...adapter.versions, [version]: value};
  }

  private retireVersion(path: string, version: string): void {
    const adapter = this.draft.adapter(path);
    if (adapter === undefined) {
      return;
    }
    if (!Object.hasOwn(adapter.versions, version)) {
      this.draft.addFinding('version', `no version ${version}`);
      return;
    }
    const retired = {...adapter.versions[version], retired: true};
    adapter.versions = {...adapter.versions, [version]: retired};
  }

  private remove(path: string): void {
    const [customerName, serviceName, adapterName] = splitPath(path);
    if (customerName === undefined) {
      this.draft.addFinding('path', 'the root cannot be removed');
      return;
    }
    if (serviceName === undefined) {
      this.removeFrom(this.draft.customers(), customerName);
      return;
    }
    if (adapterName === undefined) {
      const customer = this.draft.customer(customerName);
      if (customer !== undefined) {
        this.removeFrom(this.draft.services(customer), serviceName);
      }
      return;
    }
    const service = this.draft.modelService(path);
    if (service !== undefined) {
      this.removeFrom(this.draft.adapters(service), adapterName);
    }
  }

  private replace(value: SettingsTree): void {
    this.draft.replace(value);
    for (const [name, customer] of Object.entries(value.customers)) {
      this.checkCustomer(name, customer);
    }
  }

  /** Reports duplicate adapter names and path prefixes of a customer. */
  private checkCustomer(customer: string, value: Customer): void {
    for (const {service, name} of findDuplicateNames(value)) {
      this.draft.addFinding(
        `value.customers.${customer}.services.${service}`,
        `${name} stands twice in customer ${customer}`,
      );
    }
  }

  private removeFrom<T>(record: Record<string, T>, name: string): void {
    if (!Object.hasOwn(record, name)) {
      this.draft.addFinding('path', `${name} does not exist`);
      return;
    }
    delete record[name];
  }
}

function withoutUndefined(settings: Overrides): Overrides {
  return Object.fromEntries(
    Object.entries(settings).filter(([, value]) => value !== undefined),
  );
}
