import {z} from 'zod';

const COUNT = z.int().min(0).default(0);

/** Faults that a test switches on in an engine stand-in; each `POST /faults` replaces all. */
export const ENGINE_FAULTS_SCHEMA = z.object({
  /** Loads that fail from now on. */
  failLoads: COUNT,
  /** Loads that are confirmed though the adapter is not held. */
  lieLoads: COUNT,
  /** Loads after which the adapter is listed, but requests for it are answered 404. */
  halfLoads: COUNT,
  /** Loads after which the adapter has other weights than those that were named. */
  wrongLoads: COUNT,
  /** Loads that are done though the connection breaks before the answer. */
  loseLoadAnswers: COUNT,
  /** Unloads that are done though the connection breaks before the answer. */
  loseUnloadAnswers: COUNT,
  /** Time by which each load lasts longer, in milliseconds. */
  slowLoadMs: COUNT,
  /** Time by which each load is confirmed later than it is done, in milliseconds. */
  lateConfirmMs: COUNT,
  /** Slots by which the engine has less than it says. */
  hiddenSlots: COUNT,
  /** Whether old fencing numbers are taken though the engine checks them. */
  ignoreFence: z.boolean().default(false),
  /** Whether requests are accepted but not worked on. */
  freeze: z.boolean().default(false),
  /** Restarts the engine empty: a new boot, running requests cut. */
  restart: z.boolean().default(false),
  /** Whether the engine says that it takes no new work. */
  leaving: z.boolean().default(false),
  /** Requests that are answered 500. */
  failRequests: COUNT,
  /** Answers that break off after this many tokens; -1 for none. */
  cutAfterTokens: z.int().min(-1).default(-1),
  /** Answers that break off after this many bytes; -1 for none. */
  cutAfterBytes: z.int().min(-1).default(-1),
  /** Answers that break off like this before the fault is over. */
  cutAnswers: COUNT,
  /** Answers that end cleanly without their end marker. */
  dropDone: COUNT,
  /** Answers that carry another request's identity and model. */
  crossAnswers: COUNT,
  /** Answers whose body is sent twice. */
  doubleAnswers: COUNT,
  /** Time by which each answer begins later, in milliseconds. */
  lateAnswerMs: COUNT,
  /**
   * What is wrong with a resumed stream: `off` there is none; `crossed` it carries
   * another request's identity; `version` its events name another version; `doubled`
   * it begins anew; `skipped` it lacks an event.
   */
  resumeFault: z
    .enum(['none', 'off', 'crossed', 'version', 'doubled', 'skipped'])
    .default('none'),
  /** Empties the prefix cache at once. */
  clearCache: z.boolean().default(false),
  /** What is wrong with the events of the prefix cache: `none` are sent, or all are `wrong`. */
  cacheEvents: z.enum(['right', 'none', 'wrong']).default('right'),
  /** Time for which a cancelled request still runs, in milliseconds. */
  lateCancelMs: COUNT,
});

/** What is wrong with a resumed stream. */
export type ResumeFault = EngineFaults['resumeFault'];

/** Faults that a test switches on in an engine stand-in. */
export type EngineFaults = z.infer<typeof ENGINE_FAULTS_SCHEMA>;
