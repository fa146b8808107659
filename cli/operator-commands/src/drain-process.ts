import {Result} from 'true-myth';
import {Fault, toFault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {listProcessUrls} from './process-urls.js';

/**
 * Starts a graceful shutdown of the process with an ID; resolves to its base URL. Fails with
 * `NOT_FOUND` if no reachable process has this ID.
 */
export async function drainProcess(
  session: OperatorSession,
  id: string,
): Promise<Result<string, Fault>> {
  const members = await session.listMembers();
  if (members.isErr) {
    return Result.err(members.error);
  }
  for (const url of listProcessUrls(session, members.value)) {
    const client = session.createProcessClient(url);
    const status = await client.status.query().catch(() => undefined);
    if (status?.id === id) {
      try {
        await client.drain.mutate();
        return Result.ok(url);
      } catch (thrown) {
        return Result.err(toFault(thrown));
      }
    }
  }
  return Result.err(
    new Fault(
      'NOT_FOUND',
      `process "${id}" was not found among the reachable processes`,
    ),
  );
}
