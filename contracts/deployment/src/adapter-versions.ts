import {z} from 'zod';

const NAME = z.string().min(1).max(256);

/** A new version of an adapter, or of a model itself, that operators named. */
export const NAMED_VERSION_SCHEMA = z.object({
  model: NAME,
  /** Absent where the model itself is meant. */
  adapter: NAME.optional(),
  version: z.int().min(0),
});

/** A new version of an adapter, or of a model itself, that operators named. */
export type NamedVersion = z.infer<typeof NAMED_VERSION_SCHEMA>;

/** Name of an adapter of a model, `model/adapter`, or of the model itself. */
export function adapterName(model: string, adapter?: string): string {
  return adapter === undefined ? model : `${model}/${adapter}`;
}
