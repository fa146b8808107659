/** What a leader knows about one replica. */
export interface Progress {
  /** The last index known to be equal and synced there. */
  matchIndex: number;
  /** The next index to send. */
  nextIndex: number;
  /** Latest time the replica answered, in milliseconds. */
  heardAt: number;
  /** Latest round of contact it answered. */
  round: number;
  /** Characters of the snapshot that it confirmed, while it receives one. */
  snapshot?: SnapshotProgress;
}

/** How far a snapshot is transferred. */
export interface SnapshotProgress {
  readonly index: number;
  received: number;
  /** Time the latest part was sent, in milliseconds. */
  sentAt: number;
}

/** Progress of a replica that nothing is known about. */
export function newProgress(lastIndex: number, now: number): Progress {
  return {matchIndex: 0, nextIndex: lastIndex + 1, heardAt: now, round: 0};
}
