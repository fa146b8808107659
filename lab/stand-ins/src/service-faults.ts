import {z} from 'zod';

const COUNT = z.int().min(0).default(0);

/** Faults that a test switches on in a plain service stand-in; each `POST /faults` replaces all. */
export const SERVICE_FAULTS_SCHEMA = z.object({
  /** Whether calls are accepted but not worked on. */
  freeze: z.boolean().default(false),
  /** Whether the health page answers 503. */
  unhealthy: z.boolean().default(false),
  /** Calls that are answered 500 without having run. */
  failCalls: COUNT,
  /** Calls that run, but whose answer breaks off before its first byte. */
  loseAnswers: COUNT,
  /** Calls that run, but whose answer breaks off in its middle. */
  cutAnswers: COUNT,
  /** Time by which each call lasts longer, in milliseconds. */
  slowMs: COUNT,
});

/** Faults that a test switches on in a plain service stand-in. */
export type ServiceFaults = z.infer<typeof SERVICE_FAULTS_SCHEMA>;
