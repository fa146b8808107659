import type {Member} from '@marigoldspur/messages';
import type {OperatorSession} from './operator-session.js';

/** Base URLs of every known process, the replicas of control first. */
export function processUrls(
  session: OperatorSession,
  members: readonly Member[],
): string[] {
  const urls = members.map(member => member.url);
  return [...new Set([...session.controlUrls, ...urls])];
}
