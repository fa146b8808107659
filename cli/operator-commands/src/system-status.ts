import type {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {processUrls} from './process-urls.js';

/** One process in the system's status. */
export interface ProcessRow {
  readonly id: string;
  readonly role: string;
  readonly zone: string;
  /** Settings revision that the process has in force. */
  readonly revision: number;
  /** Revisions behind the newest one seen. */
  readonly behind: number;
  readonly state: 'ready' | 'not ready' | 'draining' | 'unreachable';
  readonly facts: string;
}

/** The status of the processes that are known. */
export interface SystemStatus {
  readonly rows: readonly ProcessRow[];
  /** Why only the replicas of control are known: none of them leads. */
  readonly fault?: Fault;
}

/** Longest time in which control is asked for its members, in milliseconds; over an election. */
const MEMBERS_WAIT_MS = 4_000;

/** Asks every known process for its status; without a leader the replicas of control alone. */
export async function readSystemStatus(
  session: OperatorSession,
): Promise<SystemStatus> {
  const waitUntil = performance.now() + MEMBERS_WAIT_MS;
  const members = await session.members(
    Math.min(session.deadline(), waitUntil),
  );
  const urls = processUrls(session, members.unwrapOr([]));
  const rows = await Promise.all(urls.map(url => processRow(session, url)));
  const newest = Math.max(...rows.map(row => row.revision));
  const compared = rows.map(row => ({
    ...row,
    behind: row.state === 'unreachable' ? 0 : newest - row.revision,
  }));
  return members.isErr
    ? {rows: compared, fault: members.error}
    : {rows: compared};
}

async function processRow(
  session: OperatorSession,
  url: string,
): Promise<ProcessRow> {
  try {
    const status = await session.process(url).status.query();
    const {id, role, zone, revision, draining, ready} = status;
    const facts = Object.entries(status.facts)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    const state = draining ? 'draining' : ready ? 'ready' : 'not ready';
    return {id, role, zone, revision, behind: 0, state, facts};
  } catch {
    return {
      id: url,
      role: '',
      zone: '',
      revision: 0,
      behind: 0,
      state: 'unreachable',
      facts: '',
    };
  }
}
