import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {parse} from 'yaml';
import {z} from 'zod';
import {Fault} from '@marigoldspur/faults';

/** Duration, or time since the start of the measured part of a run, in seconds. */
const SECONDS_SCHEMA = z.number().min(0);

const DISTURBANCE_SCHEMA = z.discriminatedUnion('kind', [
  /** The most popular adapters exchange ranks with random adapters at one moment. */
  z.strictObject({
    kind: z.literal('shift'),
    at: SECONDS_SCHEMA,
    adapters: z.int().min(1),
  }),
  /** The least popular adapter receives `rate` additional requests per second. */
  z.strictObject({
    kind: z.literal('flash-crowd'),
    at: SECONDS_SCHEMA,
    seconds: SECONDS_SCHEMA,
    rate: z.number(),
  }),
  /** Adapters are requested one after another from the least popular upwards, `rate` per second. */
  z.strictObject({
    kind: z.literal('scan'),
    at: SECONDS_SCHEMA,
    seconds: SECONDS_SCHEMA,
    rate: z.number(),
  }),
  /** A fraction of the adapters per hour exchanges ranks with other adapters at random times. */
  z.strictObject({kind: z.literal('wake-up'), sharePerHour: z.number()}),
  /**
   * Each of the most popular adapters gets a new version, one after another
   * within `seconds`; callers request it `switchAfterSeconds` later.
   */
  z.strictObject({
    kind: z.literal('new-versions'),
    at: SECONDS_SCHEMA,
    adapters: z.int().min(1),
    seconds: SECONDS_SCHEMA,
    switchAfterSeconds: SECONDS_SCHEMA,
  }),
  /** Engines restart one after another, with empty slots. */
  z.strictObject({
    kind: z.literal('restart'),
    at: SECONDS_SCHEMA,
    engines: z.int().min(1),
    downSeconds: SECONDS_SCHEMA,
  }),
  /** A fraction of the loads fails at random. */
  z.strictObject({
    kind: z.literal('failing-loads'),
    at: SECONDS_SCHEMA,
    seconds: SECONDS_SCHEMA,
    share: z.number().min(0).max(1),
  }),
  /** Each load takes `factor` times as long. */
  z.strictObject({
    kind: z.literal('slow-store'),
    at: SECONDS_SCHEMA,
    seconds: SECONDS_SCHEMA,
    factor: z.number().min(1),
  }),
  /** The engines of the first zone are unreachable. */
  z.strictObject({
    kind: z.literal('zone-cut'),
    at: SECONDS_SCHEMA,
    seconds: SECONDS_SCHEMA,
  }),
]);

/** A fault or a change of demand in a scenario. */
export type Disturbance = z.infer<typeof DISTURBANCE_SCHEMA>;

const SCENARIO_SCHEMA = z.strictObject({
  name: z.string(),
  disturbances: z.array(DISTURBANCE_SCHEMA).default([]),
});

/** A named set of disturbances; none for a calm run. */
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
  /** Fraction of its time to the deadline that a load may wait; 0 disables early refusal. */
  patience: z.number().min(0).max(1).default(0),
  /** The patience while the store is overloaded; defaults to `patience`. */
  overloadPatience: z.number().min(0).max(1).optional(),
  /**
   * Time for which the queue must be too long before the store counts as overloaded, in
   * milliseconds.
   */
  overloadAfterMs: z.number().default(30_000),
  /** Time for which the queue must be short before the overload ends, in milliseconds. */
  overloadEndsAfterMs: z.number().default(10_000),
  /** Weight of load stalls relative to batch efficiency; at 1 only stalls count. */
  stallWeight: z.number().min(0).max(1).default(0.5),
  /** Number of engines, from the start of the rendezvous order, among which a home is chosen. */
  homes: z.int().min(1).optional(),
  /** Half-life of a use in demand-aware placement, in milliseconds. */
  halfLifeMs: z.number().optional(),
  /** Half-life of a use in eviction, in milliseconds. */
  evictionHalfLifeMs: z.number().optional(),
  /** How long a choice is used until the report of the engine shows it, in milliseconds. */
  recentMs: z.number().optional(),
  /** Fraction of its batch limit at which an engine counts as full. */
  fullAt: z.number().optional(),
  /** Cost of each further rank in the rendezvous order. */
  rankCost: z.number().optional(),
  /** Exponent of the fraction of demand that an eviction loses; above 1, small losses cost little. */
  lossPower: z.number().optional(),
  /** Fraction of used slots at which batch fill counts with its full weight; 0 means a constant weight. */
  busyAt: z.number().optional(),
  /** Whether new versions of adapters in demand are loaded before their first request. */
  prefetch: z.boolean().default(false),
});

/** A combination of placement, eviction and load policies to measure. */
export type Policy = z.infer<typeof POLICY_SCHEMA>;

const CLUSTER_SCHEMA = z.strictObject({
  engines: z.int().min(1),
  /** Number of adapter slots of each engine. */
  slots: z.int().min(1),
  /** Maximum number of requests in the batch of an engine. */
  batchLimit: z.int().min(1),
  zones: z.int().min(1),
  entries: z.int().min(1),
  adapters: z.int().min(1),
  /** Rate at which the store loads adapters, for all engines together. */
  loadsPerSecond: z.number(),
  /** One-way network latency between processes, in milliseconds. */
  oneWayMs: z.number(),
  /** Interval between two reports of an engine, in milliseconds. */
  reportMs: z.number(),
  /** Time after which an unreachable engine is suspected, in milliseconds. */
  suspectMs: z.number(),
  /** Time to the first token on an idle engine, in milliseconds. */
  firstTokenMs: z.number(),
  /** Time per token in a batch of one request, in milliseconds. */
  tokenMs: z.number(),
  /** Additional time per token for each further request in the batch, in milliseconds. */
  tokenMsPerRequest: z.number(),
});

/** The engines, entries and store of a deployment. */
export type Cluster = z.infer<typeof CLUSTER_SCHEMA>;

const WORKLOAD_SCHEMA = z.strictObject({
  name: z.string(),
  cluster: CLUSTER_SCHEMA,
  /** Zipf exponent of the popularity of adapters. */
  skew: z.number(),
  /** Length of responses, in tokens: median, shape and maximum of a log-normal distribution. */
  tokens: z.strictObject({
    median: z.number(),
    sigma: z.number(),
    max: z.number(),
  }),
  /** Fraction of the requests that must not be repeated. */
  unrepeatableShare: z.number().min(0).max(1),
  /** Maximum stall, in milliseconds; a refused or late request counts as stalled for this time. */
  deadlineMs: z.number(),
  warmUpSeconds: z.number(),
  measuredSeconds: z.number(),
  /**
   * Rate at which the load queue of the best baseline starts to grow without bound, in
   * requests per second.
   */
  kneeRate: z.number(),
  /** Request rates to measure, as multiples of the knee rate. */
  loads: z.array(z.number()),
  seeds: z.array(z.int()),
  scenarios: z.array(SCENARIO_SCHEMA),
  policies: z.array(POLICY_SCHEMA),
});

/** A workload with the policies to measure under it. */
export type Workload = z.infer<typeof WORKLOAD_SCHEMA>;

/**
 * Reads a workload file. Returns `INVALID_INPUT` with all validation errors if its contents
 * are invalid. Throws if the file cannot be read or is not valid YAML.
 */
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
