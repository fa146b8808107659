import type {OperatorSession} from '@marigoldspur/operator-commands';
import type {Member} from '@marigoldspur/messages';

/** Numbers of processes that a settled system has. */
export interface SettledCounts {
  readonly entries: number;
  readonly targets: number;
}

const POLL_MS = 100;

/**
 * Waits until control and every entry see all targets as healthy. Entries receive the
 * state of a target shortly after control does. Rejects at the deadline of the session.
 */
export async function waitUntilSettled(
  session: OperatorSession,
  counts: SettledCounts,
): Promise<void> {
  const deadline = session.getDeadline();
  while (performance.now() < deadline) {
    if (await isSettled(session, counts)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error('timed out before every entry saw all targets as healthy');
}

async function isSettled(
  session: OperatorSession,
  {entries, targets}: SettledCounts,
): Promise<boolean> {
  const result = await session.listMembers();
  const members = result.unwrapOr([]);
  const healthyTargets = members.filter(
    member => member.target?.healthy === true,
  );
  const entryMembers = members.filter(member => member.role === 'entry');
  if (healthyTargets.length < targets || entryMembers.length < entries) {
    return false;
  }
  const counts = await Promise.all(
    entryMembers.map(entry => countHealthyTargets(session, entry)),
  );
  return counts.every(count => count >= targets);
}

/** Reads the number of healthy targets that an entry reports; 0 if it does not respond. */
async function countHealthyTargets(
  session: OperatorSession,
  entry: Member,
): Promise<number> {
  try {
    const status = await session.createProcessClient(entry.url).status.query();
    return Number(status.facts.targets);
  } catch {
    return 0;
  }
}
