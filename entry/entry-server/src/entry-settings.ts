import {z} from 'zod';
import {
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from '@marigoldspur/process-settings';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

/** Settings of an entry process. */
export const ENTRY_SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA.describe('Name of the process, stable over restarts'),
  zone: NAME_SCHEMA.describe('Availability zone'),
  host: z.string().default('127.0.0.1').describe('Address to listen on'),
  callerPort: PORT_SCHEMA.describe('Port for callers, behind the balancer'),
  port: PORT_SCHEMA.describe('Port for other processes and operators'),
  control: LIST_SCHEMA.describe('Base URLs of the replicas of control'),
  settleMs: DURATION_MS_SCHEMA.default(2_000).describe(
    'Time for the balancer to notice a shutdown, in milliseconds',
  ),
  drainMs: DURATION_MS_SCHEMA.default(120_000).describe(
    'Longest time that running requests get at a shutdown, in milliseconds',
  ),
  maxBodyBytes: z.coerce
    .number()
    .int()
    .min(1_024)
    .default(8_388_608)
    .describe(
      'Largest body that is read before the customer is known, in bytes',
    ),
  maxRunning: z.coerce
    .number()
    .int()
    .min(1)
    .default(2_048)
    .describe('Requests of all customers that run at once'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe('Lowest level of logged events'),
});

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof ENTRY_SETTINGS_SCHEMA>;
