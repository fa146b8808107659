import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {parse} from 'yaml';
import {z} from 'zod';
import {Fault} from '@marigoldspur/faults';

/** A time within the measured part of a run, in seconds. */
const SECONDS = z.number().min(0);

const DISTURBANCE_SCHEMA = z.discriminatedUnion('kind', [
  /** The most wanted adapters change places with rarely wanted ones at once. */
  z.strictObject({
    kind: z.literal('shift'),
    at: SECONDS,
    adapters: z.int().min(1),
  }),
  /** One rarely wanted adapter draws requests of its own, as many a second. */
  z.strictObject({
    kind: z.literal('flash-crowd'),
    at: SECONDS,
    seconds: SECONDS,
    rate: z.number(),
  }),
  /** Each adapter of the tail is asked for once, as many a second. */
  z.strictObject({
    kind: z.literal('scan'),
    at: SECONDS,
    seconds: SECONDS,
    rate: z.number(),
  }),
  /** A share of the adapters changes places with idle ones, spread over the hour. */
  z.strictObject({kind: z.literal('wake-up'), sharePerHour: z.number()}),
  /**
   * The most wanted adapters get a new version each, one after another within some
   * seconds; callers name it after a while.
   */
  z.strictObject({
    kind: z.literal('new-versions'),
    at: SECONDS,
    adapters: z.int().min(1),
    seconds: SECONDS,
    switchAfterSeconds: SECONDS,
  }),
  /** Engines restart with empty slots, one after another. */
  z.strictObject({
    kind: z.literal('restart'),
    at: SECONDS,
    engines: z.int().min(1),
    downSeconds: SECONDS,
  }),
  /** Loads fail at random. */
  z.strictObject({
    kind: z.literal('failing-loads'),
    at: SECONDS,
    seconds: SECONDS,
    share: z.number().min(0).max(1),
  }),
  /** Each load takes this many times as long. */
  z.strictObject({
    kind: z.literal('slow-store'),
    at: SECONDS,
    seconds: SECONDS,
    factor: z.number().min(1),
  }),
  /** The engines of the first zone can't be reached. */
  z.strictObject({
    kind: z.literal('zone-cut'),
    at: SECONDS,
    seconds: SECONDS,
  }),
]);

/** What goes wrong or changes in a scenario. */
export type Disturbance = z.infer<typeof DISTURBANCE_SCHEMA>;

const SCENARIO_SCHEMA = z.strictObject({
  name: z.string(),
  disturbances: z.array(DISTURBANCE_SCHEMA).default([]),
});

/** One course of events. */
export type Scenario = z.infer<typeof SCENARIO_SCHEMA>;

const POLICY_SCHEMA = z.strictObject({
  name: z.string(),
  placement: z.enum([
    'random',
    'least-loaded',
    'hash-home',
    'resident-first',
    'demand-aware',
  ]),
  eviction: z.enum(['lru', 'decayed-frequency', 'expected-rate']),
  loadOrder: z.enum(['first-come', 'least-harm']),
  /** Share of its time that a load may wait; 0 never refuses early. */
  patience: z.number().min(0).max(1).default(0),
  /** The same while the store is overloaded; as `patience` if not given. */
  overloadPatience: z.number().min(0).max(1).optional(),
  /** Time of a long queue after which the store counts as overloaded, in milliseconds. */
  overloadAfterMs: z.number().default(30_000),
  /** Time of a short queue after which it no longer does, in milliseconds. */
  overloadEndsAfterMs: z.number().default(10_000),
  stallWeight: z.number().min(0).max(1).default(0.5),
  homes: z.int().min(1).optional(),
  halfLifeMs: z.number().optional(),
  evictionHalfLifeMs: z.number().optional(),
  recentMs: z.number().optional(),
  fullAt: z.number().optional(),
  rankCost: z.number().optional(),
  lossPower: z.number().optional(),
  busyAt: z.number().optional(),
  /** Whether new versions of wanted adapters are loaded ahead of their first request. */
  prefetch: z.boolean().default(false),
});

/** One policy under test. */
export type Policy = z.infer<typeof POLICY_SCHEMA>;

const CLUSTER_SCHEMA = z.strictObject({
  engines: z.int().min(1),
  slots: z.int().min(1),
  batchLimit: z.int().min(1),
  zones: z.int().min(1),
  entries: z.int().min(1),
  adapters: z.int().min(1),
  loadsPerSecond: z.number(),
  /** One way between processes, in milliseconds. */
  oneWayMs: z.number(),
  /** Between two reports of an engine, in milliseconds. */
  reportMs: z.number(),
  /** Until an unreachable engine is known to be so, in milliseconds. */
  suspectMs: z.number(),
  /** Time to the first token at an idle engine, in milliseconds. */
  firstTokenMs: z.number(),
  /** Time of a step of a batch of one, in milliseconds. */
  tokenMs: z.number(),
  /** What each further request in the batch adds to a step, in milliseconds. */
  tokenMsPerRequest: z.number(),
});

/** The engines, entries and store of a deployment. */
export type Cluster = z.infer<typeof CLUSTER_SCHEMA>;

const WORKLOAD_SCHEMA = z.strictObject({
  name: z.string(),
  cluster: CLUSTER_SCHEMA,
  /** Zipf exponent of the popularity of adapters. */
  skew: z.number(),
  /** Length of answers, in tokens: median and shape of a log-normal distribution. */
  tokens: z.strictObject({
    median: z.number(),
    sigma: z.number(),
    max: z.number(),
  }),
  /** Share of the requests that may not be repeated. */
  unrepeatableShare: z.number().min(0).max(1),
  /** Longest stall; a refused or late request counts as stalled for so long, in milliseconds. */
  deadlineMs: z.number(),
  warmUpSeconds: z.number(),
  measuredSeconds: z.number(),
  /** Requests a second at which the load queue of the best baseline starts to grow without end. */
  kneeRate: z.number(),
  /** Multiples of the knee rate. */
  loads: z.array(z.number()),
  seeds: z.array(z.int()),
  scenarios: z.array(SCENARIO_SCHEMA),
  policies: z.array(POLICY_SCHEMA),
});

/** A workload with the policies that are measured under it. */
export type Workload = z.infer<typeof WORKLOAD_SCHEMA>;

/** Reads a workload file; all findings are reported together. */
export async function readWorkload(
  file: string,
): Promise<Result<Workload, Fault>> {
  const parsed = WORKLOAD_SCHEMA.safeParse(
    parse(await readFile(file, 'utf8'), {merge: true}),
  );
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(new Fault('INVALID_INPUT', z.prettifyError(parsed.error)));
}
