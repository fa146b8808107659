import {z} from 'zod';
import {
  BOOLEAN_SCHEMA,
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from '@marigoldspur/process-settings';
import {LINK_SETTINGS} from '@marigoldspur/link-security';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

/** Schema of the settings of a control process. */
export const CONTROL_SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA.describe('Name of the process, stable across restarts'),
  zone: NAME_SCHEMA.describe('Availability zone of the process'),
  ...LINK_SETTINGS,
  port: PORT_SCHEMA.describe('Port for other processes and operators'),
  peers: LIST_SCHEMA.prefault('').describe(
    'Base URLs of all replicas of control, including this one, separated by commas',
  ),
  advertisedUrl: z
    .string()
    .optional()
    .describe(
      'Base URL of this process in `peers`; without it, the URL is formed from `host` and `port`',
    ),
  desiredVoters: z.coerce
    .number()
    .int()
    .min(1)
    .optional()
    .describe(
      'Number of voting replicas, if some of them run at URLs that `peers` does not list; without it, each URL in `peers` has one voting replica',
    ),
  bootstrap: BOOLEAN_SCHEMA.prefault('false').describe(
    'Whether control may form a new group once all replicas report an empty data folder; only for the first start of the system',
  ),
  electionTimeoutMs: DURATION_MS_SCHEMA.default(1_000).describe(
    'Minimum time without a leader before an election, in milliseconds; the maximum is twice that',
  ),
  heartbeatMs: DURATION_MS_SCHEMA.default(200).describe(
    'Interval between heartbeats of the leader to the other replicas, in milliseconds',
  ),
  proposeTimeoutMs: DURATION_MS_SCHEMA.default(2_000).describe(
    'Maximum time to commit a command, in milliseconds; after it, the outcome is unknown',
  ),
  snapshotEntries: z.coerce
    .number()
    .int()
    .min(1)
    .default(10_000)
    .describe('Number of committed commands between snapshots'),
  snapshotBytes: z.coerce
    .number()
    .int()
    .min(1)
    .default(16_777_216)
    .describe(
      'Size of the committed commands between snapshots, in bytes; the disk needs room for twice as much and two snapshots',
    ),
  dataFolder: z
    .string()
    .min(1)
    .describe('Folder for the durable state of the replica'),
  memoryBytes: z.coerce
    .number()
    .positive()
    .optional()
    .describe(
      'Memory that the process may use, in bytes, which limits what it buffers; no limit by default',
    ),
  maxDescriptors: z.coerce
    .number()
    .int()
    .positive()
    .optional()
    .describe(
      'Number of file descriptors that the process may open, which limits its connections; no limit by default',
    ),
  leaseMs: DURATION_MS_SCHEMA.default(3_000).describe(
    'How long a member stays registered without a heartbeat, in milliseconds',
  ),
  loadsAtOnce: z.coerce
    .number()
    .int()
    .min(1)
    .default(1)
    .describe('Maximum number of concurrent loads per weight store'),
  permitValidMs: DURATION_MS_SCHEMA.default(30_000).describe(
    'Time after which a load permit expires if it is not returned, in milliseconds',
  ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe(
      'Minimum level of the events that are logged; `silent` logs none',
    ),
});

/** Settings of a control process. */
export type ControlSettings = z.infer<typeof CONTROL_SETTINGS_SCHEMA>;
