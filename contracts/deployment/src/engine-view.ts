import {z} from 'zod';

/** Path at which an agent streams the state of its engine. */
export const ENGINE_VIEW_PATH = '/engine-view';
/** Path at which an agent makes an adapter ready. */
export const PREPARE_PATH = '/prepare';
/** Path at which an agent is told of the use of adapters. */
export const ADAPTER_USAGE_PATH = '/uses';

/** Time between two messages of an engine view at most, in milliseconds. */
export const ENGINE_VIEW_MAX_INTERVAL_MS = 1_000;

/** State of an engine, as its agent reads it. */
export const ENGINE_VIEW_SCHEMA = z.object({
  /** When the engine's process started, in milliseconds since the epoch. */
  bornAt: z.int().min(0),
  /** Whether the engine answers its agent; if not, the rest is its last known state. */
  answers: z.boolean(),
  /** Models that the engine holds. */
  models: z.array(z.string()),
  /** Adapters that the engine holds, `model/adapter`, each with its version. */
  adapters: z.array(z.tuple([z.string(), z.int().min(0)])),
  /** Adapters that are being loaded. */
  loading: z.array(z.string()),
  /** Adapters that calls wait for and that no slot is free for yet. */
  awaited: z.array(z.string()),
  /** Slots of adapters that are being loaded or that calls use. */
  takenSlots: z.int().min(0),
  /** Requests whose prompt is not read yet. */
  waiting: z.int().min(0),
  /** Requests that make events. */
  running: z.int().min(0),
  /** Share of the memory for tokens that can't be freed, 0 to 1. */
  memoryUsed: z.number().min(0),
});

/** State of an engine, as its agent reads it. */
export type EngineView = z.infer<typeof ENGINE_VIEW_SCHEMA>;

/** Asks an agent to make an adapter, or a model itself, ready. */
export const PREPARE_REQUEST_SCHEMA = z.object({
  model: z.string().min(1),
  /** Absent where the model itself is meant. */
  adapter: z.string().min(1).optional(),
  /** Oldest version that will do; any without it. */
  version: z.int().min(0).optional(),
  /** Adapters that the engine has room for. */
  slots: z.int().min(0),
  /** Identity of the engine that is meant. */
  target: z.string().min(1),
});

/** Asks an agent to make an adapter ready. */
export type PrepareRequest = z.infer<typeof PREPARE_REQUEST_SCHEMA>;

/** What came of it. */
export const PREPARE_ANSWER_SCHEMA = z.object({
  ready: z.boolean(),
  reason: z.string().optional(),
});

/** What came of a request to make an adapter ready. */
export type PrepareAnswer = z.infer<typeof PREPARE_ANSWER_SCHEMA>;

const ADAPTER_COUNT = z.tuple([z.string(), z.int().min(1)]);

/** Use of an engine's adapters, `model/adapter`, by the calls of one entry. */
export const ADAPTER_USAGE_SCHEMA = z.object({
  /** Name of the entry. */
  entry: z.string().min(1),
  /** Calls that began since the last message. */
  begun: z.array(ADAPTER_COUNT),
  /** Calls that run now. */
  running: z.array(ADAPTER_COUNT),
});

/** Use of an engine's adapters by the calls of one entry. */
export type AdapterUsage = z.infer<typeof ADAPTER_USAGE_SCHEMA>;
