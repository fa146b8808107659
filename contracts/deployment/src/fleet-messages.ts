import {z} from 'zod';
import {NAMED_VERSION_SCHEMA} from './adapter-versions.js';
import {CRASH_RECORDS_SCHEMA} from './crash-records.js';
import {DEPLOYMENT_HEAD_SCHEMA} from './deployment-transfer.js';
import {STATED_LIMIT_SCHEMA} from './request-limits.js';
import {
  SERVICE_VERSION_SCHEMA,
  SOFTWARE_VERSIONS_SCHEMA,
} from './stream-origins.js';
import {
  TARGET_ANNOUNCEMENT_SCHEMA,
  TARGET_INCARNATION_SCHEMA,
} from './target-announcement.js';

/**
 * Path at which a replica of control streams the state of the fleet: the head of the active
 * deployment, the named adapter versions and the targets.
 */
export const FLEET_PATH = '/fleet';

/** Maximum time between two messages of a fleet stream, in milliseconds. */
export const FLEET_MAX_INTERVAL_MS = 500;

/** A deployment as its operator sent it. */
export const DEPLOYMENT_TEXT_SCHEMA = z.object({
  revision: z.int().min(0),
  text: z.string(),
});

/** A deployment as its operator sent it. */
export type DeploymentText = z.infer<typeof DEPLOYMENT_TEXT_SCHEMA>;

/** One message of a fleet stream; absent fields have not changed. */
export const FLEET_MESSAGE_SCHEMA = z.object({
  /** True in the first message, which holds the whole state and was confirmed by a quorum. */
  whole: z.boolean().optional(),
  /** The active deployment; its text is fetched from one replica. */
  deployment: DEPLOYMENT_HEAD_SCHEMA.optional(),
  versions: z.array(NAMED_VERSION_SCHEMA).optional(),
  /** Base URLs of all replicas of control. */
  replicas: z.array(z.string().refine(isUrl, 'must be a URL')).optional(),
  /** Number of entries that follow this replica. */
  entries: z.int().min(0).optional(),
  /** Targets whose announcement is new or has changed. */
  targets: z.array(TARGET_ANNOUNCEMENT_SCHEMA).optional(),
  /** Targets that have stopped announcing themselves. */
  silent: z.array(TARGET_INCARNATION_SCHEMA).optional(),
  /** Targets that have deregistered. */
  gone: z.array(TARGET_INCARNATION_SCHEMA).optional(),
  /** Crash records that are new to this replica, or all that it knows. */
  crashRecords: CRASH_RECORDS_SCHEMA.optional(),
  /** Request limits that are new to this replica, or all that it knows. */
  limits: z.array(STATED_LIMIT_SCHEMA).optional(),
  /** Software versions that targets had lately; in the first message only. */
  softwareVersions: SOFTWARE_VERSIONS_SCHEMA.optional(),
  /** All software versions in the replicated log, when a stream starts and at each new one. */
  recordedVersions: z.array(SERVICE_VERSION_SCHEMA).optional(),
});

function isUrl(text: string): boolean {
  return URL.canParse(text);
}

/** One message of a fleet stream. */
export type FleetMessage = z.infer<typeof FLEET_MESSAGE_SCHEMA>;
