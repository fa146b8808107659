import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {Change, ChangeOutcome, Edit} from '@marigoldspur/settings-schema';
import type {OperatorSession} from './operator-session.js';
import {readSettings} from './read-settings.js';

/** Options of a submitted change. */
export interface SubmitOptions {
  /** Author of the change. */
  readonly author: string;
  /** Revision that the change creates; the next one by default. */
  readonly number?: number;
}

/** Submits edits as one change. If a response is lost, sends the change again with the same ID. */
export async function submitChange(
  session: OperatorSession,
  edits: readonly Edit[],
  options: SubmitOptions,
): Promise<Result<ChangeOutcome, Fault>> {
  const number = await resolveRevisionNumber(session, options);
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
    session.getDeadline(),
  );
}

async function resolveRevisionNumber(
  session: OperatorSession,
  options: SubmitOptions,
): Promise<Result<number, Fault>> {
  if (options.number !== undefined) {
    return Result.ok(options.number);
  }
  const view = await readSettings(session);
  return view.map(({revision}) => revision + 1);
}
