import {z} from 'zod';

const NAME_SCHEMA = z.string().min(1).max(256);

/** A new version of an adapter, or of a model itself, that an operator named. */
export const NAMED_VERSION_SCHEMA = z.object({
  model: NAME_SCHEMA,
  /** Absent if the version is one of the model itself. */
  adapter: NAME_SCHEMA.optional(),
  version: z.int().min(0),
});

/** A new version of an adapter, or of a model itself, that an operator named. */
export type NamedVersion = z.infer<typeof NAMED_VERSION_SCHEMA>;

/** Returns the full name of an adapter, `model/adapter`, or the name of the model itself. */
export function adapterName(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
