import {z} from 'zod';
import {
  BOOLEAN_SCHEMA,
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from '@marigoldspur/process-settings';
import {LINK_SETTINGS} from '@marigoldspur/link-security';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

/** Settings of a control process. */
export const CONTROL_SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA.describe('Name of the process, stable over restarts'),
  zone: NAME_SCHEMA.describe('Availability zone'),
  ...LINK_SETTINGS,
  port: PORT_SCHEMA.describe('Port for other processes and operators'),
  peers: LIST_SCHEMA.prefault('').describe(
    'Base URLs of all replicas of control, this one included',
  ),
  advertisedUrl: z
    .string()
    .optional()
    .describe(
      'Base URL of this process in `peers`, where it is not host and port',
    ),
  desiredVoters: z.coerce
    .number()
    .int()
    .min(1)
    .optional()
    .describe(
      'Replicas that are to vote, where some may come from URLs that `peers` does not name; without it `peers` names all',
    ),
  bootstrap: BOOLEAN_SCHEMA.prefault('false').describe(
    'Whether control may form a new group once all replicas answer with an empty data folder; for the first start only',
  ),
  electionTimeoutMs: DURATION_MS_SCHEMA.default(1_000).describe(
    'Shortest time without a leader before an election, in milliseconds; the longest is twice that',
  ),
  heartbeatMs: DURATION_MS_SCHEMA.default(200).describe(
    'Time between heartbeats of the leader, in milliseconds',
  ),
  proposeTimeoutMs: DURATION_MS_SCHEMA.default(2_000).describe(
    'Longest time until a command is committed, in milliseconds; later its outcome is open',
  ),
  snapshotEntries: z.coerce
    .number()
    .int()
    .min(1)
    .default(10_000)
    .describe('Committed commands after which a snapshot is saved'),
  dataFolder: z.string().min(1).describe('Folder of the durable state'),
  leaseMs: DURATION_MS_SCHEMA.default(3_000).describe(
    'How long a member lives without a heartbeat, in milliseconds',
  ),
  loadsAtOnce: z.coerce
    .number()
    .int()
    .min(1)
    .default(1)
    .describe('Loads that may run at once per weight store'),
  permitValidMs: DURATION_MS_SCHEMA.default(30_000).describe(
    'After this time an unreturned load permit is free again, in milliseconds',
  ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe('Lowest level of logged events'),
});

/** Settings of a control process. */
export type ControlSettings = z.infer<typeof CONTROL_SETTINGS_SCHEMA>;
