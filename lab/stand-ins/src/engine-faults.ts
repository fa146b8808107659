import {z} from 'zod';

/** Faults that a test switches on in an engine stand-in. */
export const ENGINE_FAULTS_SCHEMA = z.object({
  /** Loads that fail from now on. */
  failLoads: z.int().min(0).default(0),
  /** Loads that are confirmed though the adapter is not held. */
  lieLoads: z.int().min(0).default(0),
  /** Answers that break off after this many tokens; -1 for none. */
  cutAfterTokens: z.int().min(-1).default(-1),
  /** Answers that break off like this before the fault is over. */
  cutAnswers: z.int().min(0).default(0),
});

/** Faults that a test switches on in an engine stand-in. */
export type EngineFaults = z.infer<typeof ENGINE_FAULTS_SCHEMA>;
