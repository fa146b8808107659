import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import type {Member} from './member.js';

/** Path at which an entry streams the load reports of its zone, as JSON lines over plain HTTP. */
export const LOAD_REPORTS_PATH = '/load-reports';

/** Load of a target. It is only a hint for routing; nothing else may depend on it. */
export const LOAD_REPORT_SCHEMA = z.object({
  /** Adapters that the target has loaded, as `adapter@version`. */
  resident: z.array(z.string()),
  /** Loaded adapters that requests are using. */
  pinned: z.array(z.string()).optional(),
  /** Adapters that requests wait for or that are being loaded. */
  loading: z.array(z.string()).optional(),
  /** Number of requests that run on the target. */
  running: z.int().min(0),
  /** Number of requests that wait in the agent or the target. */
  waiting: z.int().min(0),
});

/** Load of a target. */
export type LoadReport = z.infer<typeof LOAD_REPORT_SCHEMA>;

/** The load report of one agent. */
export const AGENT_LOAD_SCHEMA = z.object({
  id: NAME_SCHEMA,
  /** Boot ID of the agent. */
  boot: z.string(),
  load: LOAD_REPORT_SCHEMA,
});

/** The load report of one agent. */
export type AgentLoad = z.infer<typeof AGENT_LOAD_SCHEMA>;

/** Changes of the load reports that a relay receives; the first message of a stream contains all reports. */
export const LOAD_CHANGES_SCHEMA = z.object({
  changed: z.array(AGENT_LOAD_SCHEMA),
  /** IDs of agents whose load reports no longer arrive. */
  removed: z.array(z.string()),
});

/** Changes of the load reports that a relay receives. */
export type LoadChanges = z.infer<typeof LOAD_CHANGES_SCHEMA>;

/** A member as control stores it, and its load report. */
export interface SplitMember {
  readonly memberWithoutLoad: Member;
  readonly load: LoadReport | undefined;
}

/** Separates a member's load report from the rest of it. */
export function splitMember(member: Member): SplitMember {
  if (member.target?.load === undefined) {
    return {memberWithoutLoad: member, load: undefined};
  }
  const {load, ...target} = member.target;
  return {memberWithoutLoad: {...member, target}, load};
}
