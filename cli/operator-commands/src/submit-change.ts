import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {ChangeOutcome, Edit} from '@marigoldspur/settings-schema';
import type {OperatorSession} from './operator-session.js';

/** Sends edits as one change with the next number; a lost answer is asked for again. */
export async function submitChange(
  session: OperatorSession,
  edits: readonly Edit[],
  options: {readonly author: string; readonly number?: number},
): Promise<Result<ChangeOutcome, Fault>> {
  const view = await session.control.call(
    (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
    session.deadline(),
  );
  if (view.isErr) {
    return Result.err(view.error);
  }
  const change = {
    id: randomUUID(),
    number: options.number ?? view.value.revision + 1,
    author: options.author,
    edits: [...edits],
  };
  return session.control.call(
    (replica, signal) => replica.changeSettings.mutate(change, {signal}),
    session.deadline(),
  );
}
