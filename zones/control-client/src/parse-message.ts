import {Fault, formatFindings, schemaFindings} from '@marigoldspur/faults';
import type {z} from 'zod';

/** A message that came over a link, as its schema has it; throws `CORRUPT_DATA` with every finding. */
export function parseMessage<T>(schema: z.ZodType<T>, message: unknown): T {
  const parsed = schema.safeParse(message);
  if (!parsed.success) {
    const findings = formatFindings(schemaFindings(parsed.error));
    throw new Fault('CORRUPT_DATA', `a message is not valid: ${findings}`);
  }
  return parsed.data;
}
