import type {OperatorSession} from '@marigoldspur/operator-commands';
import type {Member} from '@marigoldspur/messages';

/** How many processes a settled system has. */
export interface SettledCounts {
  readonly entries: number;
  readonly targets: number;
}

const POLL_MS = 100;

/**
 * Waits until control knows every target as healthy and every entry knows what control
 * knows: an entry learns of a target a moment after control does.
 */
export async function awaitSettled(
  session: OperatorSession,
  counts: SettledCounts,
): Promise<void> {
  const deadline = session.deadline();
  while (performance.now() < deadline) {
    if (await isSettled(session, counts)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error('the targets were not all known to every entry in time');
}

async function isSettled(
  session: OperatorSession,
  {entries, targets}: SettledCounts,
): Promise<boolean> {
  const answer = await session.members();
  const members = answer.unwrapOr([]);
  const healthy = members.filter(member => member.target?.healthy === true);
  const known = members.filter(member => member.role === 'entry');
  if (healthy.length < targets || known.length < entries) {
    return false;
  }
  const seen = await Promise.all(known.map(each => seenBy(session, each)));
  return seen.every(count => count >= targets);
}

/** Number of healthy targets that an entry knows; 0 where it does not answer. */
async function seenBy(
  session: OperatorSession,
  entry: Member,
): Promise<number> {
  try {
    const status = await session.process(entry.url).status.query();
    return Number(status.facts.targets);
  } catch {
    return 0;
  }
}
