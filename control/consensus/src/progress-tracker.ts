import {majority, replicasOf, type Configuration} from './configuration.js';
import {newProgress, type Progress} from './progress.js';

/** What a leader knows about each replica of the configuration in effect. */
export class ProgressTracker {
  private readonly progress = new Map<string, Progress>();

  /** Keeps a progress for each replica of a configuration. */
  updateReplicas(
    configuration: Configuration,
    lastIndex: number,
    now: number,
  ): void {
    const replicas = replicasOf(configuration);
    for (const {id} of replicas) {
      if (!this.progress.has(id)) {
        this.progress.set(id, newProgress(lastIndex, now));
      }
    }
    for (const id of [...this.progress.keys()]) {
      if (!replicas.some(replica => replica.id === id)) {
        this.progress.delete(id);
      }
    }
  }

  get(id: string): Progress | undefined {
    return this.progress.get(id);
  }

  /** All replicas but one. */
  others(own: string): Array<[string, Progress]> {
    return [...this.progress].filter(([id]) => id !== own);
  }

  /** Notes that a replica answered. */
  recordAnswer(from: string, round: number, now: number): Progress | undefined {
    const progress = this.progress.get(from);
    if (progress !== undefined) {
      progress.heardAt = now;
      progress.round = Math.max(progress.round, round);
    }
    return progress;
  }

  /** Whether a majority, `own` included, was heard after a time. */
  hasMajorityAnsweredSince(
    {voters}: Configuration,
    own: string,
    time: number,
  ): boolean {
    const heard = voters.filter(
      ({id}) =>
        id === own || (this.progress.get(id)?.heardAt ?? -Infinity) > time,
    );
    return heard.length >= majority(voters.length);
  }

  /** The last index that a majority holds, synced. */
  majorityMatchIndex({voters}: Configuration): number {
    return ofMajority(
      voters.map(({id}) => this.progress.get(id)?.matchIndex ?? 0),
    );
  }

  /** The latest round that a majority answered; `own` answers each at once. */
  majorityRound({voters}: Configuration, own: string, round: number): number {
    return ofMajority(
      voters.map(({id}) =>
        id === own ? round : (this.progress.get(id)?.round ?? 0),
      ),
    );
  }

  /** Whether some replica is in the middle of a snapshot. */
  hasSnapshotTransfer(
    matches: (progress: Progress) => boolean = () => true,
  ): boolean {
    return [...this.progress.values()].some(
      progress => progress.snapshot !== undefined && matches(progress),
    );
  }
}

/** The largest number that a majority reaches. */
function ofMajority(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[majority(values.length) - 1] ?? 0;
}
