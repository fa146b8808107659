import {z} from 'zod';

/** Base URL of a replica, as another process states it. */
export const REPLICA_URL_SCHEMA = z
  .string()
  .max(512)
  .refine(isReplicaUrl, 'must be an HTTP URL');

/** Whether a replica can be reached at a URL. */
export function isReplicaUrl(url: string): boolean {
  return /^https?:/.test(url) && URL.canParse(url);
}

/** ID and base URL of a replica. The log may hold URLs that were not checked. */
export const REPLICA_ADDRESS_SCHEMA = z.object({
  /** Replica ID, stored in the replica's data folder. */
  id: z.string().min(1).max(64),
  url: z.string().min(1).max(512),
});

/** ID and base URL of a replica. */
export type ReplicaAddress = z.infer<typeof REPLICA_ADDRESS_SCHEMA>;

/**
 * The members of a group. Learners receive the log but do not vote or count towards a
 * majority.
 */
export const CONFIGURATION_SCHEMA = z.object({
  voters: z.array(REPLICA_ADDRESS_SCHEMA),
  learners: z.array(REPLICA_ADDRESS_SCHEMA),
  /**
   * Replacement voters whose repair is not confirmed yet; absent in entries written by
   * earlier versions.
   */
  unconfirmed: z.array(REPLICA_ADDRESS_SCHEMA).optional(),
});

/** The members of a group. */
export type Configuration = z.infer<typeof CONFIGURATION_SCHEMA>;

/** The configuration of a replica that does not belong to a group yet. */
export const EMPTY_CONFIGURATION: Configuration = {voters: [], learners: []};

/** The smallest majority of `count` voters. */
export function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** All replicas of a configuration. */
export function replicasOf(configuration: Configuration): ReplicaAddress[] {
  return [...configuration.voters, ...configuration.learners];
}

/** Whether a replica is a voter. */
export function isVoter(configuration: Configuration, id: string): boolean {
  return configuration.voters.some(voter => voter.id === id);
}
