import {formatFindings} from '@marigoldspur/faults';
import {submitChange, waitInForce} from '@marigoldspur/operator-commands';
import type {ChangeOutcome, Edit} from '@marigoldspur/settings-schema';
import {EXIT, toJson, valueOf, type CommandContext} from './command.js';

/** Submits edits as one change, says what became of it and, where asked, waits until it is in force. */
export async function submit(
  context: CommandContext,
  edits: readonly Edit[],
): Promise<number> {
  const {session, flags} = context;
  const {author, number} = flags;
  const outcome = valueOf(await submitChange(session, edits, {author, number}));
  context.write(flags.json ? toJson(outcome) : `${describe(outcome)}\n`);
  switch (outcome.outcome) {
    case 'accepted':
      return flags.wait ? waitFor(context, outcome.revision) : EXIT.done;
    case 'conflict':
      return EXIT.conflict;
    case 'invalid':
      return EXIT.badInput;
  }
}

async function waitFor(
  context: CommandContext,
  revision: number,
): Promise<number> {
  const progress = await waitInForce(context.session, revision, step =>
    context.writeError(
      `in force in ${step.inForce} of ${step.reached} processes, ${step.unreachable} out of reach\n`,
    ),
  );
  valueOf(progress);
  return EXIT.done;
}

function describe(outcome: ChangeOutcome): string {
  switch (outcome.outcome) {
    case 'accepted':
      return `accepted as revision ${outcome.revision}`;
    case 'conflict': {
      const winner = outcome.winner ?? 'no longer known';
      return `conflict: revision ${outcome.revision} is the latest; the number was taken by change ${winner}`;
    }
    case 'invalid':
      return formatFindings(outcome.findings);
  }
}
