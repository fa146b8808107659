/** Options of a replica. */
export interface ConsensusOptions {
  /** Identity of the replica. */
  readonly id: string;
  /** Shortest time without a leader before an election; the longest is twice that. */
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /** A number from 0 up to 1; spreads the election timeouts. */
  readonly random: () => number;
  /** Largest content of entries in one message, in bytes; one entry may be larger. */
  readonly maxAppendBytes?: number;
  /** Largest part of a snapshot in one message, in characters. */
  readonly maxSnapshotPartLength?: number;
}
