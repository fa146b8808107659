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
  formatJson,
  unwrapOrThrow,
  type CommandContext,
  type CreateHandler,
} from './command.js';

/**
 * Submits edits as one change, prints its outcome and, with `--wait`, waits until it is in
 * force. Resolves to the exit code.
 */
export async function submit(
  context: CommandContext,
  edits: readonly Edit[],
): Promise<number> {
  const {session, flags} = context;
  const {author, number} = flags;
  const outcome = unwrapOrThrow(
    await submitChange(session, edits, {author, number}),
  );
  context.write(
    flags.json ? formatJson(outcome) : `${formatOutcome(outcome)}\n`,
  );
  switch (outcome.outcome) {
    case 'accepted':
      return flags.wait
        ? waitForRevision(context, outcome.revision)
        : EXIT_CODES.done;
    case 'conflict':
      return EXIT_CODES.conflict;
    case 'invalid':
      return EXIT_CODES.badInput;
  }
}

/** Creates a handler that submits an edit; `describeEdit` returns it for the arguments. */
export function createEditHandler<Arguments>(
  createHandler: CreateHandler,
  describeEdit: (args: Arguments) => object,
): (args: Arguments) => Promise<void> {
  const buildEdit = (args: Arguments) => validateEdit(describeEdit(args));
  return createHandler<Arguments>(
    (context, args) => submit(context, [buildEdit(args)]),
    buildEdit,
  );
}

/** Validates an edit in the client, so that findings name the arguments. */
function validateEdit(value: object): Edit {
  const parsed = EDIT_SCHEMA.safeParse(value);
  if (!parsed.success) {
    throw new InvalidInput(schemaFindings(parsed.error));
  }
  return parsed.data;
}

async function waitForRevision(
  context: CommandContext,
  revision: number,
): Promise<number> {
  const progress = await waitUntilInForce(context.session, revision, step =>
    context.writeError(
      `in force in ${step.inForce} of ${step.reached} processes, ${step.unreachable} unreachable\n`,
    ),
  );
  unwrapOrThrow(progress);
  return EXIT_CODES.done;
}

function formatOutcome(outcome: ChangeOutcome): string {
  switch (outcome.outcome) {
    case 'accepted':
      return `accepted as revision ${outcome.revision}`;
    case 'conflict': {
      const winner = outcome.winner ?? '(ID no longer known)';
      return `conflict: revision ${outcome.revision} is the latest; the number was taken by change ${winner}`;
    }
    case 'invalid':
      return formatFindings(outcome.findings);
  }
}
