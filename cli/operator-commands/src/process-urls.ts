import type {Member} from '@marigoldspur/messages';
import type {OperatorSession} from './operator-session.js';

/** Returns the base URLs of all known processes, starting with the replicas of control. */
export function listProcessUrls(
  session: OperatorSession,
  members: readonly Member[],
): string[] {
  const urls = members.map(member => member.url);
  return [...new Set([...session.controlUrls, ...urls])];
}
