import {AGENT_EVENTS} from './agent-events.js';
import {CONTROL_EVENTS} from './control-events.js';
import {ENTRY_EVENTS} from './entry-events.js';
import {FLEET_EVENTS} from './fleet-events.js';
import {LOAD_EVENTS} from './load-events.js';
import {MEMBER_EVENTS} from './member-events.js';
import {PROCESS_EVENTS} from './process-events.js';

/**
 * Every event that a process may record. Numbers are never reused:
 * 1xx process lifecycle, 2xx control, 3xx members, 4xx requests at the entry,
 * 5xx requests at the agent, 6xx adapter loads, 7xx deployments and their targets.
 */
export const CATALOGUE = {
  ...PROCESS_EVENTS,
  ...CONTROL_EVENTS,
  ...MEMBER_EVENTS,
  ...ENTRY_EVENTS,
  ...AGENT_EVENTS,
  ...LOAD_EVENTS,
  ...FLEET_EVENTS,
} as const;

/** Name of a kind of event. */
export type EventName = keyof typeof CATALOGUE;

/** The stable number of a kind of event. */
export function eventNumber(name: EventName): number {
  return CATALOGUE[name].number;
}
