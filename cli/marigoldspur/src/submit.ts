import {
  formatFindings,
  InvalidInput,
  schemaFindings,
} from '@marigoldspur/faults';
import {submitChange, waitUntilInForce} from '@marigoldspur/operator-commands';
import {
  EDIT_SCHEMA,
  type ChangeOutcome,
  type Edit,
} from '@marigoldspur/settings-schema';
import {
  EXIT_CODES,
  toJson,
  unwrapOrThrow,
  type CommandContext,
  type CreateHandler,
} from './command.js';

/** Submits edits as one change, says what became of it and, where asked, waits until it is in force. */
export async function submit(
  context: CommandContext,
  edits: readonly Edit[],
): Promise<number> {
  const {session, flags} = context;
  const {author, number} = flags;
  const outcome = unwrapOrThrow(
    await submitChange(session, edits, {author, number}),
  );
  context.write(flags.json ? toJson(outcome) : `${describe(outcome)}\n`);
  switch (outcome.outcome) {
    case 'accepted':
      return flags.wait ? waitFor(context, outcome.revision) : EXIT_CODES.done;
    case 'conflict':
      return EXIT_CODES.conflict;
    case 'invalid':
      return EXIT_CODES.badInput;
  }
}

/** A handler that submits the one edit which its arguments describe. */
export function editHandler<Arguments>(
  handle: CreateHandler,
  describeEdit: (args: Arguments) => object,
): (args: Arguments) => Promise<void> {
  const editOf = (args: Arguments) => checkedEdit(describeEdit(args));
  return handle<Arguments>(
    (context, args) => submit(context, [editOf(args)]),
    editOf,
  );
}

/** Checks an edit here, so that findings name the arguments. */
function checkedEdit(value: object): Edit {
  const parsed = EDIT_SCHEMA.safeParse(value);
  if (!parsed.success) {
    throw new InvalidInput(schemaFindings(parsed.error));
  }
  return parsed.data;
}

async function waitFor(
  context: CommandContext,
  revision: number,
): Promise<number> {
  const progress = await waitUntilInForce(context.session, revision, step =>
    context.writeError(
      `in force in ${step.inForce} of ${step.reached} processes, ${step.unreachable} out of reach\n`,
    ),
  );
  unwrapOrThrow(progress);
  return EXIT_CODES.done;
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
