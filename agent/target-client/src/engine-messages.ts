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
  /** Loads that run; absent where the engine does not tell. */
  loading: z.int().min(0).optional(),
  /** Whether the engine takes no new work. */
  leaving: z.boolean().default(false),
});

/** Answer of `GET /health` of an engine. */
export type EngineHealth = z.infer<typeof ENGINE_HEALTH_SCHEMA>;

/** Answer of `GET /v1/models` of an engine. */
export const ENGINE_MODELS_SCHEMA = z.object({
  data: z.array(
    z.object({
      id: z.string(),
      /** Digest of the weights that the engine holds; absent where it does not tell. */
      digest: z.string().optional(),
    }),
  ),
});

/** An adapter that an engine says it holds. */
export type ResidentAdapter = z.infer<
  typeof ENGINE_MODELS_SCHEMA
>['data'][number];

/** Answer of `GET /v1/requests` of an engine: what runs or waits there. */
export const ENGINE_REQUESTS_SCHEMA = z.object({
  data: z.array(z.object({id: z.string(), model: z.string()})),
});

/** A request that runs or waits in an engine. */
export type EngineRequest = z.infer<
  typeof ENGINE_REQUESTS_SCHEMA
>['data'][number];

/** Header of each answer of an engine: the boot identity that gave it. */
export const BOOT_HEADER = 'x-engine-boot';

/** Header of a request and of its answer: the identity of the request at the engine. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Header of a streamed answer: how long it can be resumed once broken, in milliseconds. */
export const RESUME_HEADER = 'x-engine-resume-ms';

/** Header of a resume: number of the last event that came. */
export const LAST_EVENT_HEADER = 'last-event-id';

/** Path under which an engine goes on with the stream of a request. */
export function resumePath(id: string): string {
  return `/v1/requests/${encodeURIComponent(id)}/stream`;
}
