/** Options of a consensus replica. */
export interface ConsensusOptions {
  readonly id: string;
  /**
   * Minimum time without a leader before an election, in milliseconds; the maximum is
   * twice that.
   */
  readonly electionTimeoutMs: number;
  /** Interval between the heartbeats of a leader, in milliseconds. */
  readonly heartbeatMs: number;
  /**
   * Returns a random number from 0 (inclusive) to 1 (exclusive), used to randomize
   * election timeouts.
   */
  readonly random: () => number;
  /**
   * Maximum total size of the entries in a message, in bytes. A single larger entry is
   * sent alone.
   */
  readonly maxAppendBytes?: number;
  /** Maximum length of the snapshot data in a message, in characters. */
  readonly maxSnapshotPartLength?: number;
}
