import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

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
  /** Adapters that the target holds, as `adapter@version`. */
  resident: z.array(z.string()),
  /** Adapters among them that requests use at present. */
  pinned: z.array(z.string()).optional(),
  /** Adapters that requests wait for or that are being loaded. */
  loading: z.array(z.string()).optional(),
  /** Requests that run on the target. */
  running: z.int().min(0),
  /** Requests that wait in the agent or the target. */
  waiting: z.int().min(0),
  /** Requests that the target runs in one batch at most. */
  batchLimit: z.int().min(1),
  /** Fencing number of the agent's orders; absent for a plain service. */
  fence: z.int().min(0).optional(),
});

/** What an agent reports of the target beside it. */
export type TargetReport = z.infer<typeof TARGET_REPORT_SCHEMA>;

/** One process of the system, as it announces itself in each heartbeat. */
export const MEMBER_SCHEMA = z.object({
  /** Name of the process, stable over restarts. */
  id: NAME_SCHEMA,
  role: ROLE_SCHEMA,
  zone: NAME_SCHEMA,
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
