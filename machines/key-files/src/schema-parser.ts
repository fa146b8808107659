import {parse} from 'yaml';
import type {z} from 'zod';
import {InvalidInput, schemaFindings} from '@marigoldspur/faults';

/** A parser of JSON or YAML text that checks it against a schema. */
export function createSchemaParser<Schema extends z.ZodType>(
  schema: Schema,
): (text: string) => z.infer<Schema> {
  return text => {
    const parsed = schema.safeParse(parse(text));
    if (!parsed.success) {
      throw new InvalidInput(schemaFindings(parsed.error));
    }
    return parsed.data;
  };
}
