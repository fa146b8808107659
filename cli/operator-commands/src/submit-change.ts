import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {Change, ChangeOutcome, Edit} from '@marigoldspur/settings-schema';
import type {OperatorSession} from './operator-session.js';
import {readSettings} from './read-settings.js';

/** How a change is submitted. */
export interface SubmitOptions {
  /** Name that the change carries. */
  readonly author: string;
  /** Revision that the change makes; the next one where it is not given. */
  readonly number?: number;
}

/** Sends edits as one change; a lost answer is asked for again under the same identity. */
export async function submitChange(
  session: OperatorSession,
  edits: readonly Edit[],
  options: SubmitOptions,
): Promise<Result<ChangeOutcome, Fault>> {
  const number = await numberOf(session, options);
  if (number.isErr) {
    return Result.err(number.error);
  }
  const change: Change = {
    id: randomUUID(),
    number: number.value,
    author: options.author,
    edits: [...edits],
  };
  return session.control.call(
    (replica, signal) => replica.changeSettings.mutate(change, {signal}),
    session.deadline(),
  );
}

async function numberOf(
  session: OperatorSession,
  options: SubmitOptions,
): Promise<Result<number, Fault>> {
  if (options.number !== undefined) {
    return Result.ok(options.number);
  }
  const view = await readSettings(session);
  return view.map(({revision}) => revision + 1);
}
