import type {z} from 'zod';
import {InvalidInput, schemaFindings} from '@marigoldspur/faults';

/**
 * Resolves to a parser of JSON or YAML text that validates it against a schema; the parser throws
 * `InvalidInput`. The YAML library is loaded only when a process has key files, because loading it
 * delays the start.
 */
export async function createSchemaParser<Schema extends z.ZodType>(
  schema: Schema,
): Promise<(text: string) => z.infer<Schema>> {
  const {parse} = await import('yaml');
  return text => {
    const parsed = schema.safeParse(parse(text));
    if (!parsed.success) {
      throw new InvalidInput(schemaFindings(parsed.error));
    }
    return parsed.data;
  };
}
