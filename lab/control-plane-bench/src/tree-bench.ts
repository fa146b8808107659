import {randomUUID} from 'node:crypto';
import {
  CHANGE_SCHEMA,
  type Edit,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {
  locateAdapter,
  applyEdits,
  SettingsState,
  resolveSettings,
} from '@marigoldspur/settings-tree';

/** Size of a settings tree; its adapters are divided evenly among the customers. */
export interface TreeShape {
  /** Number of adapters in the whole tree. */
  readonly adapters: number;
  readonly customers: number;
}

/** Cost of the operations on a tree. */
export interface TreeCost {
  readonly adapters: number;
  readonly customers: number;
  /** Size of the whole tree as JSON, in bytes. */
  readonly jsonBytes: number;
  /** Heap usage of the tree, in bytes. */
  readonly heapBytes: number;
  /** Time to decide a change with one edit, in milliseconds. */
  readonly decideOneMs: number;
  /** Time to apply one edit, as followers do, in milliseconds. */
  readonly applyOneMs: number;
  /** Time to apply a change with 1,000 edits, in milliseconds. */
  readonly applyThousandMs: number;
  /** Time to validate a change that replaces the whole tree against the schema, in milliseconds. */
  readonly parseWholeMs: number;
  /** Time to decide a change that replaces the whole tree, in milliseconds. */
  readonly decideWholeMs: number;
  /** Time to find an adapter of a known customer, in microseconds. */
  readonly lookupUs: number;
  /** Time to find an adapter among all customers, in microseconds. */
  readonly lookupAnyUs: number;
  /** Time to resolve the settings of an adapter, in microseconds. */
  readonly resolveUs: number;
}

const LOOKUP_COUNT = 10_000;
const REPEATS = 21;
const EDITS = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Builds a tree with one service per customer. */
export function buildTree(shape: TreeShape): SettingsTree {
  const tree: SettingsTree = {settings: {}, customers: {}};
  const adaptersPerCustomer = shape.adapters / shape.customers;
  for (let customer = 0; customer < shape.customers; customer += 1) {
    const adapters: Record<
      string,
      {
        settings: object;
        versions: Record<string, {digest: string; retired: boolean}>;
      }
    > = {};
    for (let index = 0; index < adaptersPerCustomer; index += 1) {
      adapters[formatAdapterName(customer * adaptersPerCustomer + index)] = {
        settings: {},
        versions: {v1: {digest: randomUUID(), retired: false}},
      };
    }
    tree.customers[`customer-${customer}`] = {
      settings: {},
      services: {
        'lm-desk': {
          kind: 'model',
          baseModel: 'base',
          store: 'store',
          settings: {},
          adapters,
        },
      },
    };
  }
  return tree;
}

/** Measures the operations on a tree; the heap usage is accurate only if Node.js runs with `--expose-gc`. */
export function measureTree(shape: TreeShape): TreeCost {
  const heapBefore = measureUsedHeapBytes();
  const tree = buildTree(shape);
  const heapBytes = measureUsedHeapBytes() - heapBefore;
  const text = JSON.stringify(tree);
  const adaptersPerCustomer = shape.adapters / shape.customers;
  const adapterAt = (index: number) => ({
    customer: `customer-${Math.floor(index / adaptersPerCustomer)}`,
    name: formatAdapterName(index),
  });
  const createEdit = (index: number): Edit => ({
    edit: 'set',
    path: `/${adapterAt(index).customer}/lm-desk/${adapterAt(index).name}`,
    setting: 'priority',
    value: index % 9,
  });
  const state = new SettingsState();
  const replacement = {
    id: randomUUID(),
    number: 1,
    author: 'bench',
    edits: [{edit: 'replace', value: JSON.parse(text) as SettingsTree}],
  };
  const parseWholeMs = measureMs(() => CHANGE_SCHEMA.parse(replacement));
  const parsed = CHANGE_SCHEMA.parse(replacement);
  const decideWholeMs = measureMs(() => state.apply(parsed));
  const decideOneMs = measureMedianMs(round =>
    state.apply({
      id: randomUUID(),
      number: state.revision + 1,
      author: 'bench',
      edits: [createEdit((round * 997) % shape.adapters)],
    }),
  );
  const applyOneMs = measureMedianMs(round =>
    applyEdits(tree, [createEdit((round * 997) % shape.adapters)]),
  );
  const edits = Array.from({length: EDITS}, (_, index) =>
    createEdit((index * 31) % shape.adapters),
  );
  const applyThousandMs = measureMs(() => applyEdits(tree, edits));
  const measurePerLookupUs = (lookUp: (index: number) => void) =>
    (measureMs(() => {
      for (let index = 0; index < LOOKUP_COUNT; index += 1) {
        lookUp((index * 37) % shape.adapters);
      }
    }) *
      MICROSECONDS_PER_MS) /
    LOOKUP_COUNT;
  return {
    ...shape,
    jsonBytes: text.length,
    heapBytes,
    decideOneMs,
    applyOneMs,
    applyThousandMs,
    parseWholeMs,
    decideWholeMs,
    lookupUs: measurePerLookupUs(index =>
      locateAdapter(
        tree,
        adapterAt(index).customer,
        createVersionRef(adapterAt(index).name),
      ),
    ),
    lookupAnyUs: measurePerLookupUs(index =>
      locateAdapter(tree, undefined, createVersionRef(adapterAt(index).name)),
    ),
    resolveUs: measurePerLookupUs(index =>
      resolveSettings(
        tree,
        `/${adapterAt(index).customer}/lm-desk/${adapterAt(index).name}`,
      ),
    ),
  };
}

function createVersionRef(adapter: string) {
  return {adapter, version: 'v1'};
}

function formatAdapterName(index: number): string {
  return `adapter-${index}`;
}

function measureUsedHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureMs(run: () => void): number {
  const start = performance.now();
  run();
  return performance.now() - start;
}

function measureMedianMs(run: (round: number) => void): number {
  const times = Array.from({length: REPEATS}, (_, round) =>
    measureMs(() => run(round)),
  );
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)];
}
