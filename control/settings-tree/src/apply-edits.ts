import {Result} from 'true-myth';
import {type Finding, schemaFindings} from '@marigoldspur/faults';
import {
  OVERRIDES_SCHEMA,
  type Adapter,
  type Edit,
  type Overrides,
  type Service,
  type Tree,
} from '@marigoldspur/settings-schema';
import {adapterOf} from './resolve.js';

/**
 * Applies edits to a copy of the levels that they touch. Reports the findings of
 * all edits together, each placed at its edit; the given tree stays as it is.
 */
export function applyEdits(
  tree: Tree,
  edits: readonly Edit[],
): Result<Tree, Finding[]> {
  const findings: Finding[] = [];
  let next = tree;
  edits.forEach((edit, index) => {
    const draft = new TreeDraft(next, finding =>
      findings.push({
        place: placeOf(index, finding),
        reason: finding.reason,
      }),
    );
    next = draft.apply(edit);
  });
  return findings.length === 0 ? Result.ok(next) : Result.err(findings);
}

type Report = (finding: Finding) => void;

/** One edit on one tree. */
class TreeDraft {
  constructor(
    private readonly tree: Tree,
    private readonly report: Report,
  ) {}

  apply(edit: Edit): Tree {
    switch (edit.edit) {
      case 'set':
        return this.override(edit.path, {[edit.setting]: edit.value});
      case 'unset':
        return this.override(edit.path, {[edit.setting]: undefined});
      case 'create-customer':
        return this.createCustomer(edit.customer, edit.value);
      case 'create-service':
        return this.createService(edit.path, edit.value);
      case 'create-adapter':
        return this.createAdapter(edit.path, edit.value);
      case 'add-version':
        return this.addVersion(edit.path, edit.version, edit.value);
      case 'retire-version':
        return this.retireVersion(edit.path, edit.version);
      case 'remove':
        return this.remove(edit.path);
      case 'replace':
        return this.replace(edit.value);
    }
  }

  private override(
    path: string,
    patch: Record<string, string | number | boolean | undefined>,
  ): Tree {
    const known = OVERRIDES_SCHEMA.safeParse(patch);
    if (!known.success) {
      schemaFindings(known.error).forEach(this.report);
      return this.tree;
    }
    return this.update(path, level => ({
      ...level,
      settings: withoutUndefined({...level.settings, ...known.data}),
    }));
  }

  private createCustomer(name: string, value: Tree['customers'][string]): Tree {
    if (Object.hasOwn(this.tree.customers, name)) {
      return this.reject('customer', `customer ${name} exists already`);
    }
    return this.checked({
      ...this.tree,
      customers: {...this.tree.customers, [name]: value},
    });
  }

  private createService(path: string, value: Service): Tree {
    const [customer, name] = segments(path);
    if (name === undefined || segments(path).length !== 2) {
      return this.reject('path', 'must name a customer and a service');
    }
    return this.updateCustomer(customer, level => {
      if (Object.hasOwn(level.services, name)) {
        this.report({place: 'path', reason: `service ${path} exists already`});
      }
      return {...level, services: {...level.services, [name]: value}};
    });
  }

  private createAdapter(path: string, value: Adapter): Tree {
    const [customer, service, name] = segments(path);
    if (name === undefined) {
      return this.reject(
        'path',
        'must name a customer, a service and an adapter',
      );
    }
    return this.updateAdapters(customer, service, adapters => {
      const taken = adapterOf(this.tree, customer, {
        adapter: name,
        version: '',
      });
      if (taken !== undefined) {
        this.report({
          place: 'path',
          reason: `adapter ${name} exists already in /${customer}/${taken.service}`,
        });
      }
      return {...adapters, [name]: value};
    });
  }

  private addVersion(
    path: string,
    version: string,
    value: Adapter['versions'][string],
  ): Tree {
    return this.updateAdapter(path, adapter => {
      const existing = Object.hasOwn(adapter.versions, version)
        ? adapter.versions[version]
        : undefined;
      if (existing !== undefined && existing.digest !== value.digest) {
        this.report({
          place: 'version',
          reason: `version ${version} exists with another digest`,
        });
      }
      return {...adapter, versions: {...adapter.versions, [version]: value}};
    });
  }

  private retireVersion(path: string, version: string): Tree {
    return this.updateAdapter(path, adapter => {
      if (!Object.hasOwn(adapter.versions, version)) {
        this.report({place: 'version', reason: `no version ${version}`});
        return adapter;
      }
      const retired = {...adapter.versions[version], retired: true};
      return {...adapter, versions: {...adapter.versions, [version]: retired}};
    });
  }

  private remove(path: string): Tree {
    const [customer, service, adapter] = segments(path);
    if (customer === undefined) {
      return this.reject('path', 'the root cannot be removed');
    }
    if (service === undefined) {
      return {
        ...this.tree,
        customers: this.without(this.tree.customers, customer),
      };
    }
    if (adapter === undefined) {
      return this.updateCustomer(customer, level => ({
        ...level,
        services: this.without(level.services, service),
      }));
    }
    return this.updateAdapters(customer, service, adapters =>
      this.without(adapters, adapter),
    );
  }

  private replace(value: Tree): Tree {
    return this.checked(value);
  }

  /** Reports adapter names and path prefixes that stand twice. */
  private checked(tree: Tree): Tree {
    for (const [customer, level] of Object.entries(tree.customers)) {
      const seen = new Set<string>();
      for (const [service, value] of Object.entries(level.services)) {
        const names =
          value.kind === 'model'
            ? Object.keys(value.adapters)
            : [`path ${value.pathPrefix}`];
        for (const name of names) {
          if (seen.has(name)) {
            this.report({
              place: `value.customers.${customer}.services.${service}`,
              reason: `${name} stands twice in customer ${customer}`,
            });
          }
          seen.add(name);
        }
      }
    }
    return tree;
  }

  private update(
    path: string,
    change: <Level extends {settings: Overrides}>(level: Level) => Level,
  ): Tree {
    const [customer, service, adapter] = segments(path);
    if (customer === undefined) {
      return change(this.tree);
    }
    if (service === undefined) {
      return this.updateCustomer(customer, change);
    }
    if (adapter === undefined) {
      return this.updateCustomer(customer, level => ({
        ...level,
        services: this.replaceIn(level.services, service, change),
      }));
    }
    return this.updateAdapter(path, change);
  }

  private updateCustomer(
    customer: string,
    change: (level: Tree['customers'][string]) => Tree['customers'][string],
  ): Tree {
    return {
      ...this.tree,
      customers: this.replaceIn(this.tree.customers, customer, change),
    };
  }

  private updateAdapters(
    customer: string,
    service: string,
    change: (adapters: Record<string, Adapter>) => Record<string, Adapter>,
  ): Tree {
    return this.updateCustomer(customer, level => ({
      ...level,
      services: this.replaceIn(level.services, service, value => {
        if (value.kind !== 'model') {
          this.report({place: 'path', reason: `${service} is a plain service`});
          return value;
        }
        return {...value, adapters: change(value.adapters)};
      }),
    }));
  }

  private updateAdapter(
    path: string,
    change: (adapter: Adapter) => Adapter,
  ): Tree {
    const [customer, service, name] = segments(path);
    if (name === undefined) {
      return this.reject(
        'path',
        'must name a customer, a service and an adapter',
      );
    }
    return this.updateAdapters(customer, service, adapters =>
      this.replaceIn(adapters, name, change),
    );
  }

  private replaceIn<T>(
    record: Record<string, T>,
    name: string,
    change: (value: T) => T,
  ): Record<string, T> {
    if (!Object.hasOwn(record, name)) {
      this.report({place: 'path', reason: `${name} does not exist`});
      return record;
    }
    return {...record, [name]: change(record[name])};
  }

  private without<T>(
    record: Record<string, T>,
    name: string,
  ): Record<string, T> {
    if (!Object.hasOwn(record, name)) {
      this.report({place: 'path', reason: `${name} does not exist`});
    }
    const rest = {...record};
    delete rest[name];
    return rest;
  }

  private reject(place: string, reason: string): Tree {
    this.report({place, reason});
    return this.tree;
  }
}

function segments(path: string): string[] {
  return path.split('/').filter(segment => segment !== '');
}

function withoutUndefined(settings: Overrides): Overrides {
  return Object.fromEntries(
    Object.entries(settings).filter(([, value]) => value !== undefined),
  );
}

function placeOf(index: number, finding: Finding): string {
  return finding.place === '.'
    ? `edits.${index}`
    : `edits.${index}.${finding.place}`;
}
