import {z} from 'zod';

const COUNT_SCHEMA = z.int().min(0).default(0);

/**
 * Faults that a test injects into an engine stand-in; each `POST /faults` replaces all.
 * A number of loads, unloads, requests or responses counts the next ones.
 */
export const ENGINE_FAULTS_SCHEMA = z.object({
  /** Number of loads that fail. */
  failLoads: COUNT_SCHEMA,
  /** Number of loads that are confirmed although the adapter is not loaded. */
  lieLoads: COUNT_SCHEMA,
  /** Number of loads after which the adapter is listed, but requests for it get 404. */
  halfLoads: COUNT_SCHEMA,
  /** Number of loads after which the adapter has weights other than the requested ones. */
  wrongLoads: COUNT_SCHEMA,
  /** Number of loads that succeed although the connection closes before the response. */
  loseLoadAnswers: COUNT_SCHEMA,
  /** Number of unloads that succeed although the connection closes before the response. */
  loseUnloadAnswers: COUNT_SCHEMA,
  /** Additional duration of each load, in milliseconds. */
  slowLoadMs: COUNT_SCHEMA,
  /** Delay between the end of each load and its confirmation, in milliseconds. */
  lateConfirmMs: COUNT_SCHEMA,
  /** Number of slots that the engine reports but does not have. */
  hiddenSlots: COUNT_SCHEMA,
  /** Whether orders with an old fencing number are accepted although the engine checks it. */
  ignoreFence: z.boolean().default(false),
  /** Whether requests are accepted but not processed. */
  freeze: z.boolean().default(false),
  /**
   * Whether to restart with a new boot ID and without adapters or cached blocks; running
   * requests are terminated.
   */
  restart: z.boolean().default(false),
  /** Whether the engine reports that it accepts no new work. */
  leaving: z.boolean().default(false),
  /** Number of requests that fail with status 500. */
  failRequests: COUNT_SCHEMA,
  /** Number of tokens after which a response is cut off; -1 disables it. */
  cutAfterTokens: z.int().min(-1).default(-1),
  /** Number of bytes after which a response is cut off; -1 disables it. */
  cutAfterBytes: z.int().min(-1).default(-1),
  /** Number of responses to which `cutAfterTokens` and `cutAfterBytes` apply. */
  cutAnswers: COUNT_SCHEMA,
  /** Number of responses that end cleanly without the end marker. */
  dropDone: COUNT_SCHEMA,
  /** Number of responses that carry the ID and model of another request. */
  crossAnswers: COUNT_SCHEMA,
  /** Number of responses whose body is sent twice. */
  doubleAnswers: COUNT_SCHEMA,
  /** Delay before each response, in milliseconds. */
  lateAnswerMs: COUNT_SCHEMA,
  /**
   * Fault of a resumed stream: `off` refuses to resume it; `crossed` sends the ID of
   * another request; `version` names another adapter version in the events; `doubled`
   * sends the stream from its start; `skipped` omits an event.
   */
  resumeFault: z
    .enum(['none', 'off', 'crossed', 'version', 'doubled', 'skipped'])
    .default('none'),
  /** Whether to clear the prefix cache. */
  clearCache: z.boolean().default(false),
  /** Fault of the prefix cache events: `none` sends no events, `wrong` sends false ones. */
  cacheEvents: z.enum(['right', 'none', 'wrong']).default('right'),
  /** Time for which a cancelled request continues to run, in milliseconds. */
  lateCancelMs: COUNT_SCHEMA,
});

/** Fault of a resumed stream. */
export type ResumeFault = EngineFaults['resumeFault'];

/** Faults that a test injects into an engine stand-in. */
export type EngineFaults = z.infer<typeof ENGINE_FAULTS_SCHEMA>;
