import {z} from 'zod';
import {TENANT_SCHEMA} from './tenants.js';

/** Maximum size of a request body if no deployment sets a limit, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 4_194_304;

const NAME_SCHEMA = z.string().min(1).max(256);

/** A share of a route's requests that goes to one service. */
export const BACKEND_SCHEMA = z.object({
  service: NAME_SCHEMA,
  /** Share of the route's requests, relative to the other backends. */
  weight: z.number().min(0),
});

/** A share of a route's requests that goes to one service. */
export type Backend = z.infer<typeof BACKEND_SCHEMA>;

/** Destination and handling of the requests for one host and path prefix. */
export const ROUTE_SCHEMA = z.object({
  name: NAME_SCHEMA,
  /** Host name that callers request. */
  host: NAME_SCHEMA,
  /** Prefix of the path; starts and ends with a slash. */
  pathPrefix: NAME_SCHEMA,
  /** Whether responses are streams of numbered events. */
  streaming: z.boolean(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Time limit for the complete response, in milliseconds. */
  timeoutMs: z.number().min(0),
  /** Time within which callers expect the response or its first event, in milliseconds. */
  latencyObjectiveMs: z.number().min(0),
  /** Longest pause between two events that callers accept, in milliseconds. */
  maxGapMs: z.number().min(0).optional(),
  /** Time without an event after which callers abandon a stream, in milliseconds. */
  patienceMs: z.number().min(0).optional(),
  /** Priority; 0 is the most urgent. */
  priority: z.int().min(0),
  /** Maximum number of targets to which one request may be sent. */
  maxAttempts: z.int().min(1),
  /** Whether requests need no key although the deployment has tenants. */
  isPublic: z.boolean().optional(),
  backends: z.array(BACKEND_SCHEMA).min(1),
});

/** Destination and handling of the requests for one host and path prefix. */
export type Route = z.infer<typeof ROUTE_SCHEMA>;

/** A model that the engines of a service can hold. Times are absent if the operator states none. */
export const ENGINE_MODEL_SCHEMA = z.object({
  name: NAME_SCHEMA,
  /** Number of adapters of the model. */
  adapters: z.int().min(0),
  /** Size of its weights, in megabytes; absent if the operator does not state it. */
  weightsMb: z.number().min(0).optional(),
  /** Size of an adapter, in megabytes. */
  adapterMb: z.number().min(0).optional(),
  /** Time to load the model from the weight store, in milliseconds. */
  loadMs: z.number().min(0).optional(),
  /** Time to load the model from the engine's disk, in milliseconds. */
  diskLoadMs: z.number().min(0).optional(),
  /** Time to load the model from the engine's memory, in milliseconds. */
  memoryLoadMs: z.number().min(0).optional(),
});

/** A model that the engines of a service can hold. */
export type EngineModel = z.infer<typeof ENGINE_MODEL_SCHEMA>;

/** Capacity of each model engine of a service. */
export const ENGINE_CAPACITY_SCHEMA = z.object({
  /** Maximum number of requests in one batch. */
  batchLimit: z.int().min(1),
  /** Number of prompt and output tokens that fit in an engine's memory. */
  tokenMemory: z.number().min(0),
  /** Number of adapters that an engine can hold at the same time. */
  adapterSlots: z.int().min(0),
  /** Memory of an engine for weights and adapters together, in megabytes; absent if not stated. */
  memoryMb: z.number().min(0).optional(),
  models: z.array(ENGINE_MODEL_SCHEMA),
  /** Loads of models per second that the weight store allows over all engines; absent if not stated. */
  loadsPerSecond: z.number().min(0).optional(),
});

/** Capacity of each model engine of a service. */
export type EngineCapacity = z.infer<typeof ENGINE_CAPACITY_SCHEMA>;

/** A group of targets that serve the same requests. */
export const SERVICE_SCHEMA = z.object({
  name: NAME_SCHEMA,
  /** Path of a target's health check. */
  healthPath: z.string().min(1),
  /** Number of connections that one target accepts from all callers together. */
  maxConnections: z.int().min(1),
  /** Present if the targets are model engines. */
  engine: ENGINE_CAPACITY_SCHEMA.optional(),
});

/** A group of targets that serve the same requests. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;

/** Limits on the size and duration of callers' requests. */
export const CALLER_LIMITS_SCHEMA = z.object({
  /** Maximum size of a request's headers, in bytes. */
  maxHeaderBytes: z.int().min(1),
  /** Maximum size of a request's body, in bytes. */
  maxBodyBytes: z.int().min(1),
  /** Timeout for receiving the headers of a request, in milliseconds. */
  headerTimeoutMs: z.int().min(1),
  /** Time after which an idle connection is closed, in milliseconds. */
  idleTimeoutMs: z.int().min(1),
});

/** Limits on the size and duration of callers' requests. */
export type CallerLimits = z.infer<typeof CALLER_LIMITS_SCHEMA>;

/** A complete configuration of routes and services. The one with the highest revision is active. */
export const DEPLOYMENT_SCHEMA = z.object({
  revision: z.int().min(0),
  routes: z.array(ROUTE_SCHEMA),
  services: z.array(SERVICE_SCHEMA),
  limits: CALLER_LIMITS_SCHEMA,
  /** Tenants to which requests belong by their keys; absent if requests need no keys. */
  tenants: z.array(TENANT_SCHEMA).optional(),
});

/** A complete configuration of routes and services. */
export type Deployment = z.infer<typeof DEPLOYMENT_SCHEMA>;
