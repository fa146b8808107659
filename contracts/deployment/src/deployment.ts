import {z} from 'zod';

/** Largest body of a request where no deployment states one, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 4_194_304;

const NAME = z.string().min(1).max(256);

/** A share of a route's requests that goes to one service. */
export const BACKEND_SCHEMA = z.object({
  service: NAME,
  /** Share of the route's requests, relative to the other backends. */
  weight: z.number().min(0),
});

/** A share of a route's requests that goes to one service. */
export type Backend = z.infer<typeof BACKEND_SCHEMA>;

/** Where requests of one host and path go, and how they are treated. */
export const ROUTE_SCHEMA = z.object({
  name: NAME,
  /** Host that callers name. */
  host: NAME,
  /** Beginning of the path; begins and ends with a slash. */
  pathPrefix: NAME,
  /** Whether answers are streams of numbered events. */
  streaming: z.boolean(),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time until the answer has ended, in milliseconds. */
  timeoutMs: z.number().min(0),
  /** Time in which callers want the answer, or its first event, in milliseconds. */
  latencyObjectiveMs: z.number().min(0),
  /** Longest pause between two events that callers accept, in milliseconds. */
  maxGapMs: z.number().min(0).optional(),
  /** Time without an event after which callers leave a stream, in milliseconds. */
  patienceMs: z.number().min(0).optional(),
  /** Rank; 0 is the most urgent. */
  priority: z.int().min(0),
  /** Targets to which one request may be sent. */
  maxAttempts: z.int().min(1),
  backends: z.array(BACKEND_SCHEMA).min(1),
});

/** Where requests of one host and path go, and how they are treated. */
export type Route = z.infer<typeof ROUTE_SCHEMA>;

/** What the model engines of a service have room for. */
export const ENGINE_CAPACITY_SCHEMA = z.object({
  /** Requests in one batch. */
  batchLimit: z.int().min(1),
  /** Tokens of prompts and answers that an engine keeps in memory. */
  tokenMemory: z.number().min(0),
  /** Adapters that an engine holds at once. */
  adapterSlots: z.int().min(0),
  models: z.array(z.object({name: NAME, adapters: z.int().min(0)})),
});

/** What the model engines of a service have room for. */
export type EngineCapacity = z.infer<typeof ENGINE_CAPACITY_SCHEMA>;

/** A group of targets that answer the same requests. */
export const SERVICE_SCHEMA = z.object({
  name: NAME,
  /** Path at which a target tells its health. */
  healthPath: z.string().min(1),
  /** Connections that one target accepts from all callers together. */
  maxConnections: z.int().min(1),
  /** Present where the targets are model engines. */
  engine: ENGINE_CAPACITY_SCHEMA.optional(),
});

/** A group of targets that answer the same requests. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;

/** What a caller may send, and how long it may take. */
export const CALLER_LIMITS_SCHEMA = z.object({
  maxHeaderBytes: z.int().min(1),
  maxBodyBytes: z.int().min(1),
  /** Longest time until the head of a request has come, in milliseconds. */
  headerTimeoutMs: z.int().min(1),
  /** Longest time that a connection may stay unused, in milliseconds. */
  idleTimeoutMs: z.int().min(1),
});

/** What a caller may send, and how long it may take. */
export type CallerLimits = z.infer<typeof CALLER_LIMITS_SCHEMA>;

/** A complete configuration of routes and services. The highest revision is in force. */
export const DEPLOYMENT_SCHEMA = z.object({
  revision: z.int().min(0),
  routes: z.array(ROUTE_SCHEMA),
  services: z.array(SERVICE_SCHEMA),
  limits: CALLER_LIMITS_SCHEMA,
});

/** A complete configuration of routes and services. */
export type Deployment = z.infer<typeof DEPLOYMENT_SCHEMA>;
