import {Result} from 'true-myth';
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

/** Asks every known process for its status. */
export async function systemStatus(
  session: OperatorSession,
): Promise<Result<ProcessRow[], Fault>> {
  const members = await session.members();
  if (members.isErr) {
    return Result.err(members.error);
  }
  const urls = processUrls(session, members.value);
  const rows = await Promise.all(urls.map(url => processRow(session, url)));
  const newest = Math.max(...rows.map(row => row.revision));
  return Result.ok(
    rows.map(row => ({
      ...row,
      behind: row.state === 'unreachable' ? 0 : newest - row.revision,
    })),
  );
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
