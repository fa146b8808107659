import {majority, replicasOf, type Configuration} from './configuration.js';
import {createProgress, type Progress} from './progress.js';

/** Tracks the replication progress of each replica in the current configuration. */
export class ProgressTracker {
  private readonly progressById = new Map<string, Progress>();

  /** Adds new replicas of a configuration and removes those no longer in it. */
  updateReplicas(
    configuration: Configuration,
    lastIndex: number,
    now: number,
  ): void {
    const replicas = replicasOf(configuration);
    for (const {id} of replicas) {
      if (!this.progressById.has(id)) {
        this.progressById.set(id, createProgress(lastIndex, now));
      }
    }
    for (const id of [...this.progressById.keys()]) {
      if (!replicas.some(replica => replica.id === id)) {
        this.progressById.delete(id);
      }
    }
  }

  get(id: string): Progress | undefined {
    return this.progressById.get(id);
  }

  /** The progress of all replicas except `ownId`. */
  others(ownId: string): Array<[string, Progress]> {
    return [...this.progressById].filter(([id]) => id !== ownId);
  }

  /** Records that a replica answered; undefined if the replica is not tracked. */
  recordAnswer(from: string, round: number, now: number): Progress | undefined {
    const progress = this.progressById.get(from);
    if (progress !== undefined) {
      progress.lastAnswerAt = now;
      progress.round = Math.max(progress.round, round);
    }
    return progress;
  }

  /** Whether a majority, including `ownId`, has answered after `time`. */
  hasMajorityAnsweredSince(
    {voters}: Configuration,
    ownId: string,
    time: number,
  ): boolean {
    const answered = voters.filter(
      ({id}) =>
        id === ownId ||
        (this.progressById.get(id)?.lastAnswerAt ?? -Infinity) > time,
    );
    return answered.length >= majority(voters.length);
  }

  /** The highest index that a majority has synced. */
  majorityMatchIndex({voters}: Configuration): number {
    return majorityValue(
      voters.map(({id}) => this.progressById.get(id)?.matchIndex ?? 0),
    );
  }

  /**
   * The latest round that a majority has answered; `ownId` counts as having answered
   * `round`.
   */
  majorityRound({voters}: Configuration, ownId: string, round: number): number {
    return majorityValue(
      voters.map(({id}) =>
        id === ownId ? round : (this.progressById.get(id)?.round ?? 0),
      ),
    );
  }

  /** Whether any replica that matches is receiving a snapshot. */
  hasSnapshotTransfer(
    matches: (progress: Progress) => boolean = () => true,
  ): boolean {
    return [...this.progressById.values()].some(
      progress => progress.snapshot !== undefined && matches(progress),
    );
  }
}

/** The largest value that a majority of the values reach. */
function majorityValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[majority(values.length) - 1] ?? 0;
}
