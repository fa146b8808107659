import {z} from 'zod';

/** Status that a process reports to operators. */
export const PROCESS_STATUS_SCHEMA = z.object({
  id: z.string(),
  role: z.string(),
  zone: z.string(),
  /** Boot ID of the process. */
  boot: z.string(),
  /** Version of the program. */
  version: z.string(),
  /** Active settings revision. */
  revision: z.int(),
  ready: z.boolean(),
  draining: z.boolean(),
  /** Time since the process started, in milliseconds. */
  uptimeMs: z.number(),
  /** Further details that depend on the role, by name. */
  facts: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** Status that a process reports to operators. */
export type ProcessStatus = z.infer<typeof PROCESS_STATUS_SCHEMA>;
