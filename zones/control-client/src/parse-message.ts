import {Fault, formatFindings, schemaFindings} from '@marigoldspur/faults';
import type {z} from 'zod';

/** Parses a received message with its schema; throws `CORRUPT_DATA` with all findings if it is invalid. */
export function parseMessage<T>(schema: z.ZodType<T>, message: unknown): T {
  const parsed = schema.safeParse(message);
  if (!parsed.success) {
    const findings = formatFindings(schemaFindings(parsed.error));
    throw new Fault('CORRUPT_DATA', `received an invalid message: ${findings}`);
  }
  return parsed.data;
}
