import {z} from 'zod';
import {TARGET_ANNOUNCEMENT_SCHEMA} from './target-announcement.js';

/** Path at which a replica of control accepts the origins of streams from entries, one message a line. */
export const STREAM_ORIGINS_PATH = '/stream-origins';
/** Path at which a replica of control looks up the origin of a stream. */
export const STREAM_ORIGIN_LOOKUP_PATH = '/stream-origin-lookup';

/** Maximum number of origins in a message. */
export const MAX_STREAM_ORIGINS = 4_096;

const CALL_ID_SCHEMA = z.string().min(1).max(256);

/** The target that sent the first event of a stream. */
export const STREAM_ORIGIN_SCHEMA = TARGET_ANNOUNCEMENT_SCHEMA.pick({
  id: true,
  bornAt: true,
  service: true,
  softwareVersion: true,
}).extend({
  /** ID of the call that brought the first event. */
  call: CALL_ID_SCHEMA,
  /** Fingerprint of the call without its body. */
  request: z.string().min(1).max(64),
  /** Time since the first event, in milliseconds. */
  ageMs: z.number().min(0),
});

/** The target that sent the first event of a stream. */
export type StreamOrigin = z.infer<typeof STREAM_ORIGIN_SCHEMA>;

/** Origins of streams. */
export const STREAM_ORIGINS_SCHEMA = z.object({
  origins: z.array(STREAM_ORIGIN_SCHEMA).max(MAX_STREAM_ORIGINS),
});

/** A software version that targets of a service have, or had. */
export const SERVICE_VERSION_SCHEMA = TARGET_ANNOUNCEMENT_SCHEMA.pick({
  service: true,
  softwareVersion: true,
});

/** A software version that targets of a service have, or had. */
export type ServiceVersion = z.infer<typeof SERVICE_VERSION_SCHEMA>;

/** When targets of a service with a software version were last known. */
export const SOFTWARE_VERSION_RECORD_SCHEMA = SERVICE_VERSION_SCHEMA.extend({
  /** Time since then, in milliseconds. */
  ageMs: z.number().min(0),
});

/** When targets of a service with a software version were last known. */
export type SoftwareVersionRecord = z.infer<
  typeof SOFTWARE_VERSION_RECORD_SCHEMA
>;

/** The software versions that targets had lately, as one process saw them. */
export const SOFTWARE_VERSIONS_SCHEMA = z.object({
  /** Time for which the process has seen all targets, in milliseconds. */
  observedMs: z.number().min(0),
  versions: z.array(SOFTWARE_VERSION_RECORD_SCHEMA),
});

/** The software versions that targets had lately, as one process saw them. */
export type SoftwareVersions = z.infer<typeof SOFTWARE_VERSIONS_SCHEMA>;

/** What a replica of control knows of the software versions of a service. */
export const VERSION_EVIDENCE_SCHEMA = z.object({
  /**
   * The versions in the replicated log and the base URLs of all replicas, no older than the
   * request; absent if no quorum confirmed that.
   */
  confirmed: z
    .object({
      versions: z.array(SERVICE_VERSION_SCHEMA),
      replicas: z.array(z.string()),
    })
    .optional(),
  /** The versions that targets announced to the replica lately. */
  recent: SOFTWARE_VERSIONS_SCHEMA,
});

/** What a replica of control knows of the software versions of a service. */
export type VersionEvidence = z.infer<typeof VERSION_EVIDENCE_SCHEMA>;

/** Request for the origin of the stream that a call takes up. */
export const STREAM_ORIGIN_LOOKUP_SCHEMA = z.object({
  /** ID of the call that began the stream; absent if the caller does not name it. */
  call: CALL_ID_SCHEMA.optional(),
  service: z.string().min(1).max(256),
});

/** Request for the origin of the stream that a call takes up. */
export type StreamOriginLookup = z.infer<typeof STREAM_ORIGIN_LOOKUP_SCHEMA>;

/** The origin of a stream; if the replica does not know it, the versions of its service. */
export const STREAM_ORIGIN_ANSWER_SCHEMA = z.object({
  origin: STREAM_ORIGIN_SCHEMA.optional(),
  evidence: VERSION_EVIDENCE_SCHEMA.optional(),
});

/** The origin of a stream; if the replica does not know it, the versions of its service. */
export type StreamOriginAnswer = z.infer<typeof STREAM_ORIGIN_ANSWER_SCHEMA>;
