import {z} from 'zod';
import {
  DEPLOYMENT_TEXT_SCHEMA,
  NAMED_VERSION_SCHEMA,
  SERVICE_VERSION_SCHEMA,
} from '@marigoldspur/deployment';
import type {ReplaceOutcome} from '@marigoldspur/deployment-state';
import {
  CLAIM_SCHEMA,
  COMPLETION_SCHEMA,
  type ClaimOutcome,
} from '@marigoldspur/messages';
import {CHANGE_SCHEMA, type ChangeOutcome} from '@marigoldspur/settings-schema';

/** Schema of a replicated log command. */
export const COMMAND_SCHEMA = z.discriminatedUnion('command', [
  z.object({command: z.literal('change-settings'), change: CHANGE_SCHEMA}),
  z.object({
    command: z.literal('take-claim'),
    claim: CLAIM_SCHEMA,
    /** Leader's clock when it proposed the command, in milliseconds since the epoch. */
    at: z.number(),
  }),
  z.object({
    command: z.literal('complete-claim'),
    completion: COMPLETION_SCHEMA,
    at: z.number(),
  }),
  z.object({
    command: z.literal('lose-entry'),
    entry: z.string(),
    boot: z.string(),
    at: z.number(),
  }),
  z.object({
    command: z.literal('replace-deployment'),
    deployment: DEPLOYMENT_TEXT_SCHEMA,
  }),
  z.object({
    command: z.literal('name-version'),
    named: NAMED_VERSION_SCHEMA,
  }),
  z.object({
    command: z.literal('record-software-version'),
    version: SERVICE_VERSION_SCHEMA,
  }),
  z.object({
    command: z.literal('grant-fence'),
    target: z.string(),
    boot: z.string(),
  }),
]);

/** A replicated log command. */
export type Command = z.infer<typeof COMMAND_SCHEMA>;

/** Result of applying a command. */
export type CommandAnswer =
  | {readonly command: 'change-settings'; readonly outcome: ChangeOutcome}
  | {readonly command: 'take-claim'; readonly outcome: ClaimOutcome}
  | {
      readonly command: 'grant-fence';
      readonly fence: number;
      /** Whether this is the first fencing number granted for the target. */
      readonly first: boolean;
    }
  | {
      readonly command: 'replace-deployment';
      readonly outcome: ReplaceOutcome;
    }
  | {readonly command: 'done'};
