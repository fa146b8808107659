import {z} from 'zod';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';
import type {Member} from './member.js';

/** Path at an entry of the stream of load reports of its zone, as lines of JSON over plain HTTP. */
export const LOAD_REPORTS_PATH = '/load-reports';

/** How busy a target is: a hint for routing, which nothing else may depend on. */
export const LOAD_REPORT_SCHEMA = z.object({
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
});

/** How busy a target is. */
export type LoadReport = z.infer<typeof LOAD_REPORT_SCHEMA>;

/** The load report of one agent. */
export const AGENT_LOAD_SCHEMA = z.object({
  id: NAME_SCHEMA,
  /** Boot identity of the agent. */
  boot: z.string(),
  load: LOAD_REPORT_SCHEMA,
});

/** The load report of one agent. */
export type AgentLoad = z.infer<typeof AGENT_LOAD_SCHEMA>;

/** What changed in the load reports that a relay hears; the first of a stream has all of them. */
export const LOAD_CHANGES_SCHEMA = z.object({
  changed: z.array(AGENT_LOAD_SCHEMA),
  /** Identities of agents that the relay no longer hears. */
  removed: z.array(z.string()),
});

/** What changed in the load reports that a relay hears. */
export type LoadChanges = z.infer<typeof LOAD_CHANGES_SCHEMA>;

/** A member in two parts: what control keeps of it, and its load report. */
export interface SplitMember {
  readonly memberWithoutLoad: Member;
  readonly load: LoadReport | undefined;
}

/** Parts a member's load report from the rest of it. */
export function splitMember(member: Member): SplitMember {
  if (member.target?.load === undefined) {
    return {memberWithoutLoad: member, load: undefined};
  }
  const {load, ...target} = member.target;
  return {memberWithoutLoad: {...member, target}, load};
}
