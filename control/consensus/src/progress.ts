/** Replication progress of one replica, as tracked by the leader. */
export interface Progress {
  /** The last index known to match the leader's log and to be synced on the replica. */
  matchIndex: number;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Lowest index from which entries were sent; those before it are not on their way. */
  sentFrom: number;
  /** When the replica last answered, in milliseconds; initially when tracking started. */
  lastAnswerAt: number;
  /** The latest heartbeat round that the replica answered. */
  round: number;
  /** Set while the replica is receiving a snapshot. */
  snapshot?: SnapshotProgress;
}

/** Progress of a snapshot transfer. */
export interface SnapshotProgress {
  /** Index that the snapshot ends at; `Infinity` until a snapshot is available. */
  readonly index: number;
  /** Number of characters that the replica confirmed. */
  received: number;
  /** When the latest part was sent, in milliseconds. */
  sentAt: number;
}

/** Initial progress of a replica. */
export function createProgress(lastIndex: number, now: number): Progress {
  return {
    matchIndex: 0,
    nextIndex: lastIndex + 1,
    sentFrom: lastIndex + 1,
    lastAnswerAt: now,
    round: 0,
  };
}
