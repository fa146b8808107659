import {z} from 'zod';

/** Answer of `GET /health` of an engine. */
export const ENGINE_HEALTH_SCHEMA = z.object({
  /** Boot identity; changes when the engine restarts. */
  boot: z.string(),
  /** Adapter slots. */
  slots: z.int().min(0),
  /** Requests in one batch at most. */
  batchLimit: z.int().min(1),
  running: z.int().min(0),
  waiting: z.int().min(0),
});

/** Answer of `GET /health` of an engine. */
export type EngineHealth = z.infer<typeof ENGINE_HEALTH_SCHEMA>;

/** Answer of `GET /v1/models` of an engine. */
export const ENGINE_MODELS_SCHEMA = z.object({
  data: z.array(z.object({id: z.string()})),
});
