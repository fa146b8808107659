import {z} from 'zod';

const COUNT_SCHEMA = z.int().min(0).default(0);

/**
 * Faults that a test injects into a plain service stand-in; each `POST /faults` replaces
 * all. A number of calls counts the next ones.
 */
export const SERVICE_FAULTS_SCHEMA = z.object({
  /** Whether calls are accepted but not processed. */
  freeze: z.boolean().default(false),
  /** Whether the health endpoint returns 503. */
  unhealthy: z.boolean().default(false),
  /** Number of calls that get status 500 without being executed. */
  failCalls: COUNT_SCHEMA,
  /** Number of calls that are executed, but whose connection closes before the response. */
  loseAnswers: COUNT_SCHEMA,
  /** Number of calls that are executed, but whose response is cut off halfway. */
  cutAnswers: COUNT_SCHEMA,
  /** Additional duration of each call, in milliseconds. */
  slowMs: COUNT_SCHEMA,
});

/** Faults that a test injects into a plain service stand-in. */
export type ServiceFaults = z.infer<typeof SERVICE_FAULTS_SCHEMA>;
