import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import {LOAD_REPORT_SCHEMA} from './load-report.js';

const ROLE_SCHEMA = z.enum(['control', 'entry', 'agent']);

/** What a process of the system does. */
export type ProcessRole = z.infer<typeof ROLE_SCHEMA>;

/** What an agent reports of the target beside it. */
export const TARGET_REPORT_SCHEMA = z.object({
  /** Name of the target, stable over restarts. */
  name: NAME_SCHEMA,
  customer: NAME_SCHEMA,
  service: NAME_SCHEMA,
  /** Boot identity of the target; changes when it restarts. */
  boot: z.string(),
  /** Whether the target answers its health check. */
  healthy: z.boolean(),
  /** Adapter slots of the target; 0 for a plain service. */
  slots: z.int().min(0),
  /** Requests that the target runs in one batch at most. */
  batchLimit: z.int().min(1),
  /** Fencing number of the agent: of two agents of a target the newer one serves it. */
  fence: z.int().min(0).optional(),
  /** Absent where a relay passes it on to the entries of its region. */
  load: LOAD_REPORT_SCHEMA.optional(),
});

/** What an agent reports of the target beside it. */
export type TargetReport = z.infer<typeof TARGET_REPORT_SCHEMA>;

/** One process of the system, as it announces itself in each heartbeat. */
export const MEMBER_SCHEMA = z.object({
  /** Name of the process, stable over restarts. */
  id: NAME_SCHEMA,
  role: ROLE_SCHEMA,
  zone: NAME_SCHEMA,
  /** Region of the zone; present in entries. */
  region: NAME_SCHEMA.optional(),
  /** Boot identity of the process. */
  boot: z.string(),
  /** Base URL of the process's server. */
  url: z.url(),
  /** Settings revision that the process has in force. */
  revision: z.int().min(0),
  /** True once the process takes no new work. */
  leaving: z.boolean(),
  /** Count of the announcements of this boot, so that a late one is told from a newer. */
  mark: z.int().min(0).optional(),
  /** Present in agents. */
  target: TARGET_REPORT_SCHEMA.optional(),
});

/** One process of the system. */
export type Member = z.infer<typeof MEMBER_SCHEMA>;

/** What changed in the member table after a version of it. */
export const MEMBERS_DELTA_SCHEMA = z.object({
  /** Identity of the table; versions of different tables don't compare. */
  table: z.string(),
  /** Version of the table after the delta. */
  version: z.int(),
  /** True when `changed` is the whole table. */
  whole: z.boolean(),
  changed: z.array(MEMBER_SCHEMA),
  /** Identities of the members that are gone. */
  removed: z.array(z.string()),
  /** False while members may not have announced themselves yet, as after a change of leader. */
  complete: z.boolean().default(true),
});

/** What changed in the member table. */
export type MembersDelta = z.infer<typeof MEMBERS_DELTA_SCHEMA>;
