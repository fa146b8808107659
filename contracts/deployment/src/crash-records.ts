import {z} from 'zod';

/** Path at which a replica of control accepts crash records from entries. */
export const CRASH_RECORDS_PATH = '/crash-records';

/** Maximum length of the name of a part of a prompt that is recorded. */
export const MAX_PART_NAME_LENGTH = 256;
/** Maximum number of parts of one prompt that are recorded. */
export const MAX_REPORTED_PARTS = 32;
/** Maximum number of records of one kind in a message. */
export const MAX_RECORDS = 1_024;

const NAME_SCHEMA = z.string().min(1).max(MAX_PART_NAME_LENGTH);
/** Time since what is recorded happened, in milliseconds. */
const AGE_SCHEMA = z.number().min(0);

/** A call that an engine had not begun to answer, or had just begun, when it crashed. */
export const CRASH_REPORT_SCHEMA = z.object({
  /** Name of the entry that saw the crash. */
  entry: NAME_SCHEMA,
  /** ID of the engine. */
  target: NAME_SCHEMA,
  /** Start of the engine's process, as it announced it. */
  bornAt: z.int().min(0),
  model: NAME_SCHEMA,
  /** Parts of the prompt in order, without the last one. */
  parts: z.array(NAME_SCHEMA).max(MAX_REPORTED_PARTS),
  /** Last part of the prompt, which is the call's own or its session's. */
  prompt: NAME_SCHEMA,
  /** Fingerprint of the request; absent in reports of earlier builds. */
  request: NAME_SCHEMA.optional(),
  /** Whether the head of the response had arrived. */
  hasHead: z.boolean(),
  ageMs: AGE_SCHEMA,
});

/** A call that an engine had not begun to answer, or had just begun, when it crashed. */
export type CrashReport = z.infer<typeof CRASH_REPORT_SCHEMA>;

/** The last time that a call with a part of a prompt was answered completely, or refused because of the part. */
export const PART_SIGHTING_SCHEMA = z.object({
  kind: z.enum(['completed', 'refused']),
  model: NAME_SCHEMA,
  part: NAME_SCHEMA,
  ageMs: AGE_SCHEMA,
});

/** The last time that a call with a part of a prompt was answered completely, or refused because of the part. */
export type PartSighting = z.infer<typeof PART_SIGHTING_SCHEMA>;

/** A request that an engine was running, or that waited at it, when it crashed. */
export const REQUEST_CRASH_SCHEMA = z.object({
  /** Name of the entry that saw the crash. */
  entry: NAME_SCHEMA,
  /** ID of the engine. */
  target: NAME_SCHEMA,
  /** Start of the engine's process, as it announced it. */
  bornAt: z.int().min(0),
  /** Fingerprint of the request. */
  request: NAME_SCHEMA,
  /** Whether the head of the response had arrived. */
  hasHead: z.boolean(),
  ageMs: AGE_SCHEMA,
});

/** A request that an engine was running, or that waited at it, when it crashed. */
export type RequestCrash = z.infer<typeof REQUEST_CRASH_SCHEMA>;

/** The last time that a request was answered completely, or refused because engines crash on it. */
export const REQUEST_SIGHTING_SCHEMA = z.object({
  kind: z.enum(['completed', 'refused']),
  /** Fingerprint of the request. */
  request: NAME_SCHEMA,
  ageMs: AGE_SCHEMA,
});

/** The last time that a request was answered completely, or refused because engines crash on it. */
export type RequestSighting = z.infer<typeof REQUEST_SIGHTING_SCHEMA>;

/** What entries know of crashes, and of the requests and parts of prompts concerned. */
export const CRASH_RECORDS_SCHEMA = z.object({
  reports: z.array(CRASH_REPORT_SCHEMA).max(MAX_RECORDS),
  sightings: z.array(PART_SIGHTING_SCHEMA).max(MAX_RECORDS),
  requestCrashes: z.array(REQUEST_CRASH_SCHEMA).max(MAX_RECORDS).default([]),
  requestSightings: z
    .array(REQUEST_SIGHTING_SCHEMA)
    .max(MAX_RECORDS)
    .default([]),
});

/** Returns empty crash records. */
export function createCrashRecords(): CrashRecords {
  return {
    reports: [],
    sightings: [],
    requestCrashes: [],
    requestSightings: [],
  };
}

/** What entries know of crashes, and of the requests and parts of prompts concerned. */
export type CrashRecords = z.infer<typeof CRASH_RECORDS_SCHEMA>;
