import {z} from 'zod';

/** A replica and where it is reached. */
export const REPLICA_ADDRESS_SCHEMA = z.object({
  /** Identity, kept in the replica's data folder. */
  id: z.string().min(1).max(64),
  /** Base URL. */
  url: z.string().min(1).max(512),
});

/** A replica and where it is reached. */
export type ReplicaAddress = z.infer<typeof REPLICA_ADDRESS_SCHEMA>;

/** The replicas of a group. Learners receive the log and do not count. */
export const CONFIGURATION_SCHEMA = z.object({
  voters: z.array(REPLICA_ADDRESS_SCHEMA),
  learners: z.array(REPLICA_ADDRESS_SCHEMA),
  /** Voters whose repair is not known to be done; none in entries of earlier versions. */
  unconfirmed: z.array(REPLICA_ADDRESS_SCHEMA).optional(),
});

/** The replicas of a group. */
export type Configuration = z.infer<typeof CONFIGURATION_SCHEMA>;

/** The configuration of a replica that belongs to no group yet. */
export const EMPTY_CONFIGURATION: Configuration = {voters: [], learners: []};

/** The smallest number of voters that is more than half of `count`. */
export function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** All replicas of a configuration. */
export function replicasOf(configuration: Configuration): ReplicaAddress[] {
  return [...configuration.voters, ...configuration.learners];
}

/** Whether a replica counts in elections and commits. */
export function isVoter(configuration: Configuration, id: string): boolean {
  return configuration.voters.some(voter => voter.id === id);
}
