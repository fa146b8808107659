import {z} from 'zod';
import {
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from '@marigoldspur/process-settings';
import {LINK_SETTINGS} from '@marigoldspur/link-security';
import {NAME_SCHEMA} from '@marigoldspur/settings-schema';

/** Settings of an agent process. */
export const AGENT_SETTINGS_SCHEMA = z.object({
  id: NAME_SCHEMA.describe('Name of the process, stable across restarts'),
  zone: NAME_SCHEMA.describe('Availability zone of the process'),
  ...LINK_SETTINGS,
  port: PORT_SCHEMA.describe(
    'Port for entries and operators; 0 selects a free port',
  ),
  control: LIST_SCHEMA.describe(
    'Base URLs of the replicas of control, separated by commas',
  ),
  target: NAME_SCHEMA.describe('Name of the target that the agent manages'),
  targetUrl: z.url().describe('Base URL of the target'),
  targetKind: z
    .enum(['engine', 'service'])
    .describe('Whether the target is a model engine or a plain service'),
  customer: NAME_SCHEMA.describe('Customer that the target belongs to'),
  service: NAME_SCHEMA.describe('Service that the target belongs to'),
  batchLimit: z.coerce
    .number()
    .int()
    .min(1)
    .default(64)
    .describe(
      'Number of concurrent requests at which a plain service counts as full when entries choose a target; a model engine reports its own number',
    ),
  healthIntervalMs: DURATION_MS_SCHEMA.default(250).describe(
    'Interval between health checks of the target, in milliseconds',
  ),
  loadTimeoutMs: DURATION_MS_SCHEMA.default(20_000).describe(
    'Maximum duration of the load of an adapter, in milliseconds',
  ),
  fenceChecked: z
    .stringbool()
    .default(false)
    .describe(
      'Whether the engine refuses orders with an outdated fencing number',
    ),
  orderLeaseMs: DURATION_MS_SCHEMA.default(5_000).describe(
    'How long orders may be sent to the target without confirmation by control, in milliseconds; must be equal for all agents',
  ),
  isolatedLoadsPerSecond: z.coerce
    .number()
    .positive()
    .max(1_000)
    .default(0.3)
    .describe(
      'Maximum number of loads per second of this agent while control is unreachable',
    ),
  maxHeldBytes: z.coerce
    .number()
    .int()
    .min(1_048_576)
    .default(16_777_216)
    .describe(
      'Maximum total size of buffered request bodies, in bytes; requests beyond it are refused, but a single body is always accepted',
    ),
  drainMs: DURATION_MS_SCHEMA.default(60_000).describe(
    'Maximum time that running requests get to end at shutdown, in milliseconds; at 0 the process does not wait for them',
  ),
  settleMs: DURATION_MS_SCHEMA.default(1_000).describe(
    'Time between the announcement of a shutdown and its start, in milliseconds, in which the agent still accepts requests',
  ),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info')
    .describe(
      'Minimum level of the events that are logged; `silent` logs none',
    ),
});

/** Settings of an agent process. */
export type AgentSettings = z.infer<typeof AGENT_SETTINGS_SCHEMA>;
