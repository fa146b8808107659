import {z} from 'zod';

/** Response of an engine to `GET /health`. */
export const ENGINE_HEALTH_SCHEMA = z.object({
  /** Boot ID, which changes when the engine restarts. */
  boot: z.string(),
  /** Number of adapter slots. */
  slots: z.int().min(0),
  /** Maximum number of requests in one batch. */
  batchLimit: z.int().min(1),
  running: z.int().min(0),
  waiting: z.int().min(0),
  /** Number of running loads; absent if the engine does not report it. */
  loading: z.int().min(0).optional(),
  /** Whether the engine is shutting down and accepts no new work. */
  leaving: z.boolean().default(false),
});

/** Response of an engine to `GET /health`. */
export type EngineHealth = z.infer<typeof ENGINE_HEALTH_SCHEMA>;

/** Response of an engine to `GET /v1/models`. */
export const ENGINE_MODELS_SCHEMA = z.object({
  data: z.array(
    z.object({
      id: z.string(),
      /**
       * Digest of the loaded weights; absent if the engine does not report it.
       */
      digest: z.string().optional(),
    }),
  ),
});

/** An adapter that an engine reports as resident. */
export type ResidentAdapter = z.infer<
  typeof ENGINE_MODELS_SCHEMA
>['data'][number];

/**
 * Response of an engine to `GET /v1/requests`: the running and queued requests.
 */
export const ENGINE_REQUESTS_SCHEMA = z.object({
  data: z.array(z.object({id: z.string(), model: z.string()})),
});

/** A running or queued request of an engine. */
export type EngineRequest = z.infer<
  typeof ENGINE_REQUESTS_SCHEMA
>['data'][number];

/** Response header with the boot ID of the engine that responded. */
export const BOOT_HEADER = 'x-engine-boot';

/** Header of a request and its response: ID of the request at the engine. */
export const REQUEST_ID_HEADER = 'x-request-id';

/**
 * Header of a streamed response: how long the stream can be resumed after a
 * disconnect, in milliseconds.
 */
export const RESUME_HEADER = 'x-engine-resume-ms';

/** Header of a resume request: number of the last event that was received. */
export const LAST_EVENT_HEADER = 'last-event-id';

/** Path for resuming the response stream of a request. */
export function resumePath(id: string): string {
  return `/v1/requests/${encodeURIComponent(id)}/stream`;
}
