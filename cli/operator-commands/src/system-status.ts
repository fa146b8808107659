import type {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {listProcessUrls} from './process-urls.js';

/** One process in the status of the system. */
export interface ProcessRow {
  readonly id: string;
  readonly role: string;
  readonly zone: string;
  /** Settings revision that the process has in force. */
  readonly revision: number;
  /** Number of revisions behind the newest one that any process reports. */
  readonly behind: number;
  readonly state: 'ready' | 'not ready' | 'draining' | 'unreachable';
  /** Further figures of the process, as `name=value` pairs separated by spaces. */
  readonly facts: string;
}

/** Status of all known processes. */
export interface SystemStatus {
  readonly rows: readonly ProcessRow[];
  /** Present if only the replicas of control are listed, because none of them answered as leader. */
  readonly fault?: Fault;
}

/** Timeout of reading the member table; long enough for an election. */
const MEMBERS_TIMEOUT_MS = 4_000;

/**
 * Reads the status of all known processes, or only of the replicas of control if they have
 * no leader.
 */
export async function readSystemStatus(
  session: OperatorSession,
): Promise<SystemStatus> {
  const membersDeadline = performance.now() + MEMBERS_TIMEOUT_MS;
  const members = await session.listMembers(
    Math.min(session.getDeadline(), membersDeadline),
  );
  const urls = listProcessUrls(session, members.unwrapOr([]));
  const rows = await Promise.all(urls.map(url => readProcessRow(session, url)));
  const newestRevision = Math.max(...rows.map(row => row.revision));
  const rowsWithLag = rows.map(row => ({
    ...row,
    behind: row.state === 'unreachable' ? 0 : newestRevision - row.revision,
  }));
  return members.isErr
    ? {rows: rowsWithLag, fault: members.error}
    : {rows: rowsWithLag};
}

async function readProcessRow(
  session: OperatorSession,
  url: string,
): Promise<ProcessRow> {
  try {
    const status = await session.createProcessClient(url).status.query();
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
