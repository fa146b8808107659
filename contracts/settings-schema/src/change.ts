import {z} from 'zod';
import {NAME_SCHEMA} from './names.js';
import {
  ADAPTER_SCHEMA,
  CUSTOMER_SCHEMA,
  SERVICE_SCHEMA,
  SETTINGS_TREE_SCHEMA,
  VERSION_SCHEMA,
} from './tree.js';

/** Path of a level: `/`, `/customer`, `/customer/service` or `/customer/service/adapter`. */
const PATH_SCHEMA = z
  .string()
  .regex(
    /^\/$|^(\/[a-z0-9][a-z0-9._-]{0,63}){1,3}$/,
    'must be a path of the settings tree',
  );

/** One edit of the settings tree. */
export const EDIT_SCHEMA = z.discriminatedUnion('edit', [
  z.strictObject({
    edit: z.literal('set'),
    path: PATH_SCHEMA,
    setting: z.string(),
    value: z.union([z.string(), z.number(), z.boolean()]),
  }),
  z.strictObject({
    edit: z.literal('unset'),
    path: PATH_SCHEMA,
    setting: z.string(),
  }),
  z.strictObject({
    edit: z.literal('create-customer'),
    customer: NAME_SCHEMA,
    value: CUSTOMER_SCHEMA.default({settings: {}, services: {}}),
  }),
  z.strictObject({
    edit: z.literal('create-service'),
    path: PATH_SCHEMA,
    value: SERVICE_SCHEMA,
  }),
  z.strictObject({
    edit: z.literal('create-adapter'),
    path: PATH_SCHEMA,
    value: ADAPTER_SCHEMA.default({settings: {}, versions: {}}),
  }),
  z.strictObject({
    edit: z.literal('add-version'),
    path: PATH_SCHEMA,
    version: NAME_SCHEMA,
    value: VERSION_SCHEMA,
  }),
  z.strictObject({
    edit: z.literal('retire-version'),
    path: PATH_SCHEMA,
    version: NAME_SCHEMA,
  }),
  z.strictObject({edit: z.literal('remove'), path: PATH_SCHEMA}),
  z.strictObject({edit: z.literal('replace'), value: SETTINGS_TREE_SCHEMA}),
]);

/** One edit of the settings tree. */
export type Edit = z.infer<typeof EDIT_SCHEMA>;

/** A numbered change of the settings tree. Either all of its edits are applied or none. */
export const CHANGE_SCHEMA = z.strictObject({
  /** ID of the change; a retry has the same one. */
  id: z.uuid(),
  /** Revision that the change creates. */
  number: z.int().min(1),
  /** Author of the change. */
  author: z.string().min(1).max(128),
  edits: z.array(EDIT_SCHEMA).min(1).max(10_000),
});

/** A numbered change of the settings tree. */
export type Change = z.infer<typeof CHANGE_SCHEMA>;

/** The outcome of a change; a retry gets the outcome of the first attempt. */
export const CHANGE_OUTCOME_SCHEMA = z.discriminatedUnion('outcome', [
  z.object({outcome: z.literal('accepted'), revision: z.int()}),
  z.object({
    outcome: z.literal('conflict'),
    /** The latest revision when the change was decided. */
    revision: z.int(),
    /** ID of the change that took the requested number, if known. */
    winner: z.string().optional(),
  }),
  z.object({
    outcome: z.literal('invalid'),
    findings: z.array(z.object({place: z.string(), reason: z.string()})),
  }),
]);

/** The outcome of a change. */
export type ChangeOutcome = z.infer<typeof CHANGE_OUTCOME_SCHEMA>;
