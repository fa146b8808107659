import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import {LOAD_REPORT_SCHEMA} from './load-report.js';

const ROLE_SCHEMA = z.enum(['control', 'entry', 'agent']);

/** Role of a process of the system. */
export type ProcessRole = z.infer<typeof ROLE_SCHEMA>;

/** Report of an agent about its target. */
export const TARGET_REPORT_SCHEMA = z.object({
  /** Name of the target, stable across restarts. */
  name: NAME_SCHEMA,
  customer: NAME_SCHEMA,
  service: NAME_SCHEMA,
  /** Boot ID of the target; changes when it restarts. */
  boot: z.string(),
  /** Whether the target passes its health check. */
  healthy: z.boolean(),
  /** Number of adapter slots of the target; 0 for a plain service. */
  slots: z.int().min(0),
  /** Maximum number of requests that the target runs in one batch. */
  batchLimit: z.int().min(1),
  /** Fencing number of the agent. Of two agents of one target, the one with the newer number serves it. */
  fence: z.int().min(0).optional(),
  /** Absent if a relay passes the load report on to the entries of its region. */
  load: LOAD_REPORT_SCHEMA.optional(),
});

/** Report of an agent about its target. */
export type TargetReport = z.infer<typeof TARGET_REPORT_SCHEMA>;

/** One process of the system, as it announces itself in each heartbeat. */
export const MEMBER_SCHEMA = z.object({
  /** Name of the process, stable across restarts. */
  id: NAME_SCHEMA,
  role: ROLE_SCHEMA,
  zone: NAME_SCHEMA,
  /** Region of the zone; present if the process is an entry. */
  region: NAME_SCHEMA.optional(),
  /** Boot ID of the process. */
  boot: z.string(),
  /** Base URL of the process's server. */
  url: z.url(),
  /** Active settings revision of the process. */
  revision: z.int().min(0),
  /** Whether the process takes no new work. */
  leaving: z.boolean(),
  /** Number of the announcement within this boot, which distinguishes a delayed announcement from a newer one. */
  mark: z.int().min(0).optional(),
  /** Present if the process is an agent. */
  target: TARGET_REPORT_SCHEMA.optional(),
});

/** One process of the system. */
export type Member = z.infer<typeof MEMBER_SCHEMA>;

/** Changes of the member table after one of its versions. */
export const MEMBERS_DELTA_SCHEMA = z.object({
  /** ID of the table; versions of different tables cannot be compared. */
  table: z.string(),
  /** Version of the table after the delta. */
  version: z.int(),
  /** Whether `changed` is the whole table. */
  whole: z.boolean(),
  changed: z.array(MEMBER_SCHEMA),
  /** IDs of the members that were removed. */
  removed: z.array(z.string()),
  /** False while some members may not have announced themselves yet, for example after a leader change. */
  complete: z.boolean().default(true),
});

/** Changes of the member table. */
export type MembersDelta = z.infer<typeof MEMBERS_DELTA_SCHEMA>;
