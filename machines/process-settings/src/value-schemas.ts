import {z} from 'zod';

const MAX_PORT = 65_535;

/** A TCP port; 0 selects any free port. */
export const PORT_SCHEMA = z.coerce.number().int().min(0).max(MAX_PORT);

/** A duration in milliseconds. */
export const DURATION_MS_SCHEMA = z.coerce.number().int().min(0);

/** A list of strings, separated by commas. */
export const LIST_SCHEMA = z
  .string()
  .transform(text => text.split(',').map(part => part.trim()))
  .transform(parts => parts.filter(part => part !== ''));

/** `true` or `false`. */
export const BOOLEAN_SCHEMA = z
  .enum(['true', 'false'])
  .transform(text => text === 'true');
