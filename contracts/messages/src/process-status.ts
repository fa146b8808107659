import {z} from 'zod';

/** What a process tells operators about itself. */
export const PROCESS_STATUS_SCHEMA = z.object({
  id: z.string(),
  role: z.string(),
  zone: z.string(),
  boot: z.string(),
  version: z.string(),
  /** Settings revision in force. */
  revision: z.int(),
  ready: z.boolean(),
  draining: z.boolean(),
  /** Milliseconds since the process started. */
  uptimeMs: z.number(),
  /** Further facts of the role, by name. */
  facts: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** What a process tells operators about itself. */
export type ProcessStatus = z.infer<typeof PROCESS_STATUS_SCHEMA>;
