import type {ConsensusOptions} from './consensus-options.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {ReplicaState} from './replica-state.js';

/** Delay before another voter is tried, as a fraction of the election timeout. */
const RETRY_FRACTION = 0.25;

/**
 * Transfers leadership to another voter: waits until the voter holds the whole log,
 * then asks it to start an election. If it does not become leader, the next voter is
 * tried.
 */
export class LeadershipTransfer {
  private transferee: string | undefined;
  private readonly tried = new Set<string>();
  private deadline = 0;
  private retryAt = 0;
  private isRequested = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly tracker: ProgressTracker,
  ) {}

  /** Whether a transfer is in progress. */
  get isActive(): boolean {
    return this.transferee !== undefined;
  }

  /**
   * Starts a transfer to the most up-to-date voter; false if no other voter is
   * reachable.
   */
  start(now: number): boolean {
    this.tried.clear();
    this.deadline = now + this.options.electionTimeoutMs;
    return this.chooseTransferee(now);
  }

  /** Asks the chosen voter to start an election once it holds the whole log. */
  requestElection(): void {
    const {transferee} = this;
    if (transferee === undefined || this.isRequested) {
      return;
    }
    if (
      this.tracker.get(transferee)?.matchIndex === this.state.log.last.index
    ) {
      this.isRequested = true;
      this.state.send(transferee, {kind: 'hand-over'});
    }
  }

  /**
   * Tries another voter when the retry is due, and aborts the transfer at its deadline.
   */
  tick(now: number): void {
    if (now >= this.deadline) {
      this.transferee = undefined;
    } else if (this.isActive && now >= this.retryAt) {
      this.chooseTransferee(now);
    }
  }

  /**
   * Chooses the most up-to-date voter not tried yet; ties go to the one that answered
   * last.
   */
  private chooseTransferee(now: number): boolean {
    const candidate = this.state.configuration.voters
      .filter(({id}) => id !== this.state.id && !this.tried.has(id))
      .map(({id}) => ({id, progress: this.tracker.get(id)}))
      .filter(
        ({progress}) =>
          progress !== undefined &&
          now - progress.lastAnswerAt < this.options.electionTimeoutMs,
      )
      .sort(
        (a, b) =>
          b.progress!.matchIndex - a.progress!.matchIndex ||
          b.progress!.lastAnswerAt - a.progress!.lastAnswerAt,
      )
      .at(0);
    if (candidate === undefined) {
      return false;
    }
    this.transferee = candidate.id;
    this.tried.add(candidate.id);
    this.retryAt = now + this.options.electionTimeoutMs * RETRY_FRACTION;
    this.isRequested = false;
    this.requestElection();
    return true;
  }
}
