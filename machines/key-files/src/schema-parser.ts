import {parse} from 'yaml';
import type {z} from 'zod';
import {InvalidInput, schemaFindings} from '@marigoldspur/faults';

/** Returns a parser of JSON or YAML text that validates it against a schema; the parser throws `InvalidInput`. */
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
