import {z} from 'zod';

/** Path at which an agent streams the state of its engine. */
export const ENGINE_VIEW_PATH = '/engine-view';
/** Path at which an agent accepts requests to make an adapter ready. */
export const PREPARE_PATH = '/prepare';
/** Path at which an agent accepts reports of adapter usage. */
export const ADAPTER_USAGE_PATH = '/uses';

/** Maximum time between two messages of an engine view stream, in milliseconds. */
export const ENGINE_VIEW_MAX_INTERVAL_MS = 1_000;

/** State of an engine, as its agent last read it. */
export const ENGINE_VIEW_SCHEMA = z.object({
  /** When the engine's process started, in milliseconds since the epoch. */
  bornAt: z.int().min(0),
  /** Whether the engine responds to its agent. If not, the other fields hold its last known state. */
  answers: z.boolean(),
  /** ID of the engine if it says that it leaves; absent otherwise. */
  leaving: z.string().min(1).max(256).optional(),
  /** Models that the engine holds. */
  models: z.array(z.string()),
  /** Models among them that no call has used for a while, so that they may be unloaded for another one. */
  unusedModels: z.array(z.string()).optional(),
  /** Adapters that the engine holds, `model/adapter`, each with its version. */
  adapters: z.array(z.tuple([z.string(), z.int().min(0)])),
  /** Adapters that are being loaded, `model/adapter`. */
  loading: z.array(z.string()),
  /** Adapters that calls wait for while no slot is free, `model/adapter`. */
  awaited: z.array(z.string()),
  /** Number of slots whose adapter is being loaded or is used by calls. */
  takenSlots: z.int().min(0),
  /** Number of requests whose prompt has not been processed yet. */
  waiting: z.int().min(0),
  /** Number of requests that are producing events. */
  running: z.int().min(0),
  /** Share of the token memory that is used and cannot be freed, 0 to 1. */
  memoryUsed: z.number().min(0),
});

/** State of an engine, as its agent last read it. */
export type EngineView = z.infer<typeof ENGINE_VIEW_SCHEMA>;

/** Memory of an engine, and the sizes of models that it holds or is to hold, in megabytes. */
export const MODEL_MEMORY_SCHEMA = z.object({
  /** Memory for weights and adapters together. */
  capacityMb: z.number().min(0),
  models: z.array(
    z.object({
      name: z.string().min(1),
      weightsMb: z.number().min(0),
      adapterMb: z.number().min(0),
    }),
  ),
});

/** Memory of an engine, and the sizes of models that it holds or is to hold. */
export type ModelMemory = z.infer<typeof MODEL_MEMORY_SCHEMA>;

/** Request to an agent to make an adapter, or the model itself, ready for calls. */
export const PREPARE_REQUEST_SCHEMA = z.object({
  model: z.string().min(1),
  /** Absent if the request is for the model itself. */
  adapter: z.string().min(1).optional(),
  /** Oldest acceptable version; any version if absent. */
  version: z.int().min(0).optional(),
  /** Number of adapters that the engine can hold. */
  slots: z.int().min(0),
  /** Absent if the deployment states no memory. */
  memory: MODEL_MEMORY_SCHEMA.optional(),
  /** ID of the engine that the request is for. */
  target: z.string().min(1),
});

/** Request to an agent to make an adapter ready for calls. */
export type PrepareRequest = z.infer<typeof PREPARE_REQUEST_SCHEMA>;

/** Outcome of a request to make an adapter ready. */
export const PREPARE_ANSWER_SCHEMA = z.object({
  ready: z.boolean(),
  /** Why the adapter is not ready. */
  reason: z.string().optional(),
});

/** Outcome of a request to make an adapter ready. */
export type PrepareAnswer = z.infer<typeof PREPARE_ANSWER_SCHEMA>;

const ADAPTER_COUNT_SCHEMA = z.tuple([z.string(), z.int().min(1)]);

/** Usage of an engine's adapters, each named `model/adapter`, by the calls of one entry. */
export const ADAPTER_USAGE_SCHEMA = z.object({
  /** Name of the entry. */
  entry: z.string().min(1),
  /** Number of calls that started since the last message, by adapter. */
  begun: z.array(ADAPTER_COUNT_SCHEMA),
  /** Number of running calls, by adapter. */
  running: z.array(ADAPTER_COUNT_SCHEMA),
});

/** Usage of an engine's adapters by the calls of one entry. */
export type AdapterUsage = z.infer<typeof ADAPTER_USAGE_SCHEMA>;
