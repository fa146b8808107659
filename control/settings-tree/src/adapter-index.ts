import type {Customer, SettingsTree} from '@marigoldspur/settings-schema';

/** With fewer customers a scan is faster than keeping an index. */
const SCAN_LIMIT = 16;

const indexes = new WeakMap<SettingsTree, AdapterIndex>();
const superseded = new WeakSet<SettingsTree>();

/** Which customers have an adapter of a name. */
class AdapterIndex {
  private readonly holders = new Map<string, string[]>();

  constructor(tree: SettingsTree) {
    for (const [name, customer] of Object.entries(tree.customers)) {
      this.add(name, customer);
    }
  }

  customersOf(adapter: string): readonly string[] {
    return this.holders.get(adapter) ?? [];
  }

  /** Takes over the customers that differ between two trees. */
  advance(before: SettingsTree, after: SettingsTree): void {
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
      const holders = this.holders.get(adapter);
      if (holders === undefined) {
        this.holders.set(adapter, [name]);
      } else {
        holders.push(name);
      }
    }
  }

  private remove(name: string, customer: Customer): void {
    for (const adapter of adaptersOf(customer)) {
      const rest = this.customersOf(adapter).filter(each => each !== name);
      if (rest.length === 0) {
        this.holders.delete(adapter);
      } else {
        this.holders.set(adapter, rest);
      }
    }
  }
}

/** The customers that may hold an adapter; all of them where no index is kept. */
export function candidateCustomers(
  tree: SettingsTree,
  adapter: string,
): readonly string[] {
  const holders = indexOf(tree)?.customersOf(adapter);
  return holders === undefined || holders.length > 1
    ? Object.keys(tree.customers)
    : holders;
}

function indexOf(tree: SettingsTree): AdapterIndex | undefined {
  const known = indexes.get(tree);
  if (known !== undefined || superseded.has(tree)) {
    return known;
  }
  if (Object.keys(tree.customers).length <= SCAN_LIMIT) {
    return undefined;
  }
  const index = new AdapterIndex(tree);
  indexes.set(tree, index);
  return index;
}

/** Hands the index of a tree on to the tree that follows it. */
export function transferIndex(before: SettingsTree, after: SettingsTree): void {
  const index = indexes.get(before);
  if (index === undefined || before === after) {
    return;
  }
  index.advance(before, after);
  indexes.delete(before);
  superseded.add(before);
  indexes.set(after, index);
}

function adaptersOf(customer: Customer): string[] {
  return Object.values(customer.services).flatMap(service =>
    service.kind === 'model' ? Object.keys(service.adapters) : [],
  );
}
