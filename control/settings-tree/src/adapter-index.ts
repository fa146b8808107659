import type {Customer, SettingsTree} from '@marigoldspur/settings-schema';

/** Up to this number of customers, a scan is faster than maintaining an index. */
const MAX_SCANNED_CUSTOMERS = 16;

const indexes = new WeakMap<SettingsTree, AdapterIndex>();
/** Trees whose index was transferred to a newer tree; they get no other index. */
const superseded = new WeakSet<SettingsTree>();

/** Maps adapter names to the customers that have an adapter of that name. */
class AdapterIndex {
  private readonly customersByAdapter = new Map<string, string[]>();

  constructor(tree: SettingsTree) {
    for (const [name, customer] of Object.entries(tree.customers)) {
      this.add(name, customer);
    }
  }

  customersOf(adapter: string): readonly string[] {
    return this.customersByAdapter.get(adapter) ?? [];
  }

  /** Updates the index for the customers that differ between two trees. */
  update(before: SettingsTree, after: SettingsTree): void {
    for (const [name, customer] of Object.entries(before.customers)) {
      if (after.customers[name] !== customer) {
        this.remove(name, customer);
      }
    }
    for (const [name, customer] of Object.entries(after.customers)) {
      if (before.customers[name] !== customer) {
        this.add(name, customer);
      }
    }
  }

  private add(name: string, customer: Customer): void {
    for (const adapter of adaptersOf(customer)) {
      const customers = this.customersByAdapter.get(adapter);
      if (customers === undefined) {
        this.customersByAdapter.set(adapter, [name]);
      } else {
        customers.push(name);
      }
    }
  }

  private remove(name: string, customer: Customer): void {
    for (const adapter of adaptersOf(customer)) {
      const rest = this.customersOf(adapter).filter(other => other !== name);
      if (rest.length === 0) {
        this.customersByAdapter.delete(adapter);
      } else {
        this.customersByAdapter.set(adapter, rest);
      }
    }
  }
}

/**
 * Returns the customers to search for an adapter: at most one according to the index, or
 * all customers if several use the name or no index is maintained.
 */
export function candidateCustomers(
  tree: SettingsTree,
  adapter: string,
): readonly string[] {
  const customers = indexOf(tree)?.customersOf(adapter);
  return customers === undefined || customers.length > 1
    ? Object.keys(tree.customers)
    : customers;
}

function indexOf(tree: SettingsTree): AdapterIndex | undefined {
  const existing = indexes.get(tree);
  if (existing !== undefined || superseded.has(tree)) {
    return existing;
  }
  if (Object.keys(tree.customers).length <= MAX_SCANNED_CUSTOMERS) {
    return undefined;
  }
  const index = new AdapterIndex(tree);
  indexes.set(tree, index);
  return index;
}

/** Moves the index of a tree to its successor and updates it. */
export function transferIndex(before: SettingsTree, after: SettingsTree): void {
  const index = indexes.get(before);
  if (index === undefined || before === after) {
    return;
  }
  index.update(before, after);
  indexes.delete(before);
  superseded.add(before);
  indexes.set(after, index);
}

function adaptersOf(customer: Customer): string[] {
  return Object.values(customer.services).flatMap(service =>
    service.kind === 'model' ? Object.keys(service.adapters) : [],
  );
}
