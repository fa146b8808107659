import {z} from 'zod';
import {
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from '@marigoldspur/process-settings';
import {LINK_SETTINGS} from '@marigoldspur/link-security';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

/** Settings of an entry process. */
export const ENTRY_SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA.describe('Name of the process, stable across restarts'),
  zone: NAME_SCHEMA.describe('Availability zone of the process'),
  region: NAME_SCHEMA.default('default').describe(
    'Region of the availability zone, equal for all entries of the zone; requests leave the region only if no target in it serves them',
  ),
  ...LINK_SETTINGS,
  callerPort: PORT_SCHEMA.describe(
    'Port for callers, behind the load balancer; 0 selects a free port',
  ),
  callerKeys: z
    .string()
    .min(1)
    .optional()
    .describe(
      'API keys of callers, JSON or YAML file; without it, no key is required',
    ),
  callerTlsCert: z
    .string()
    .min(1)
    .optional()
    .describe(
      'Certificate for callers, PEM file; without it, callers connect over plain HTTP',
    ),
  callerTlsKey: z
    .string()
    .min(1)
    .optional()
    .describe('Private key of the certificate for callers, PEM file'),
  port: PORT_SCHEMA.describe(
    'Port for other processes and operators; 0 selects a free port',
  ),
  control: LIST_SCHEMA.describe(
    'Base URLs of the replicas of control, separated by commas',
  ),
  settleMs: DURATION_MS_SCHEMA.default(2_000).describe(
    'Time for the load balancer to notice a shutdown, in milliseconds; until then the entry accepts requests',
  ),
  drainMs: DURATION_MS_SCHEMA.default(120_000).describe(
    'Maximum time that running requests get to end at shutdown, in milliseconds; at 0 the process does not wait for them',
  ),
  maxBodyBytes: z.coerce
    .number()
    .int()
    .min(1_024)
    .default(8_388_608)
    .describe(
      'Maximum size of a request body before its service is known, in bytes; the setting `maxBodyBytes` of the settings tree applies after that',
    ),
  maxHeldBytes: z.coerce
    .number()
    .int()
    .min(1_048_576)
    .default(16_777_216)
    .describe(
      'Maximum total size of buffered request bodies, in bytes; requests beyond it are refused',
    ),
  maxRunning: z.coerce
    .number()
    .int()
    .min(1)
    .default(2_048)
    .describe(
      'Maximum number of concurrent requests of all customers together',
    ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe(
      'Minimum level of the events that are logged; `silent` logs none',
    ),
});

export type EntrySettings = z.infer<typeof ENTRY_SETTINGS_SCHEMA>;
