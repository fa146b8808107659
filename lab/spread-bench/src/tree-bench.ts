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

/** A tree of a size, spread over customers. */
export interface TreeShape {
  readonly adapters: number;
  readonly customers: number;
}

/** What operations on a tree cost. */
export interface TreeCost {
  readonly adapters: number;
  readonly customers: number;
  /** Size of the whole tree as JSON, in bytes. */
  readonly jsonBytes: number;
  /** Heap that the tree takes, in bytes. */
  readonly heapBytes: number;
  /** Deciding a change of one edit, in milliseconds. */
  readonly decideOneMs: number;
  /** Applying one edit as a follower does, in milliseconds. */
  readonly applyOneMs: number;
  /** Applying a change of 1,000 edits, in milliseconds. */
  readonly applyThousandMs: number;
  /** Checking a whole file against the schema, in milliseconds. */
  readonly parseWholeMs: number;
  /** Deciding a whole-file change, in milliseconds. */
  readonly decideWholeMs: number;
  /** Finding an adapter of a known customer, in microseconds. */
  readonly lookupUs: number;
  /** Finding an adapter over all customers, in microseconds. */
  readonly lookupAnyUs: number;
  /** Resolving the settings of an adapter, in microseconds. */
  readonly resolveUs: number;
}

const LOOKUPS = 10_000;
const REPEATS = 21;
const THOUSAND = 1_000;
const MS_TO_US = 1_000;

/** Builds a tree with one service per customer. */
export function sizedTree(shape: TreeShape): SettingsTree {
  const tree: SettingsTree = {settings: {}, customers: {}};
  const each = shape.adapters / shape.customers;
  for (let customer = 0; customer < shape.customers; customer += 1) {
    const adapters: Record<
      string,
      {
        settings: object;
        versions: Record<string, {digest: string; retired: boolean}>;
      }
    > = {};
    for (let index = 0; index < each; index += 1) {
      adapters[adapterName(customer * each + index)] = {
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

/** Measures the operations on a tree. */
export function measureTree(shape: TreeShape): TreeCost {
  const heapBefore = heapNow();
  const tree = sizedTree(shape);
  const heapBytes = heapNow() - heapBefore;
  const text = JSON.stringify(tree);
  const each = shape.adapters / shape.customers;
  const place = (index: number) => ({
    customer: `customer-${Math.floor(index / each)}`,
    name: adapterName(index),
  });
  const setOf = (index: number): Edit => ({
    edit: 'set',
    path: `/${place(index).customer}/lm-desk/${place(index).name}`,
    setting: 'priority',
    value: index % 9,
  });
  const state = new SettingsState();
  const whole = {
    id: randomUUID(),
    number: 1,
    author: 'bench',
    edits: [{edit: 'replace', value: JSON.parse(text) as SettingsTree}],
  };
  const parseWholeMs = once(() => CHANGE_SCHEMA.parse(whole));
  const parsed = CHANGE_SCHEMA.parse(whole);
  const decideWholeMs = once(() => state.apply(parsed));
  const decideOneMs = median(round =>
    state.apply({
      id: randomUUID(),
      number: state.revision + 1,
      author: 'bench',
      edits: [setOf((round * 997) % shape.adapters)],
    }),
  );
  const applyOneMs = median(round =>
    applyEdits(tree, [setOf((round * 997) % shape.adapters)]),
  );
  const edits = Array.from({length: THOUSAND}, (_, index) =>
    setOf((index * 31) % shape.adapters),
  );
  const applyThousandMs = once(() => applyEdits(tree, edits));
  const perLookup = (look: (index: number) => void) =>
    (once(() => {
      for (let index = 0; index < LOOKUPS; index += 1) {
        look((index * 37) % shape.adapters);
      }
    }) *
      MS_TO_US) /
    LOOKUPS;
  return {
    ...shape,
    jsonBytes: text.length,
    heapBytes,
    decideOneMs,
    applyOneMs,
    applyThousandMs,
    parseWholeMs,
    decideWholeMs,
    lookupUs: perLookup(index =>
      locateAdapter(tree, place(index).customer, named(place(index).name)),
    ),
    lookupAnyUs: perLookup(index =>
      locateAdapter(tree, undefined, named(place(index).name)),
    ),
    resolveUs: perLookup(index =>
      resolveSettings(
        tree,
        `/${place(index).customer}/lm-desk/${place(index).name}`,
      ),
    ),
  };
}

function named(adapter: string) {
  return {adapter, version: 'v1'};
}

function adapterName(index: number): string {
  return `adapter-${index}`;
}

function heapNow(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function once(run: () => void): number {
  const start = performance.now();
  run();
  return performance.now() - start;
}

function median(run: (round: number) => void): number {
  const times = Array.from({length: REPEATS}, (_, round) =>
    once(() => run(round)),
  );
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)];
}
