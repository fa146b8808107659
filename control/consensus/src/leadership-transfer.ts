import type {ConsensusOptions} from './consensus-options.js';
import type {ProgressTracker} from './progress-tracker.js';
import type {ReplicaState} from './replica-state.js';

/** Wait until another voter is asked, as a share of the election timeout. */
const RETRY_SHARE = 0.25;

/**
 * Hands leadership to another voter: brings it up to the log, then asks it to hold
 * an election. One that does not take over is followed by the next.
 */
export class LeadershipTransfer {
  private to: string | undefined;
  private readonly asked = new Set<string>();
  private until = 0;
  private retryAt = 0;
  private isSent = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly table: ProgressTracker,
  ) {}

  /** Whether leadership is on its way to another. */
  get isActive(): boolean {
    return this.to !== undefined;
  }

  /** Chooses the voter that is furthest; false where none answers. */
  start(now: number): boolean {
    this.asked.clear();
    this.until = now + this.options.electionTimeoutMs;
    return this.choose(now);
  }

  /** Asks for the election once the voter holds the whole log. */
  requestElection(): void {
    const {to} = this;
    if (to === undefined || this.isSent) {
      return;
    }
    if (this.table.get(to)?.matchIndex === this.state.log.last.index) {
      this.isSent = true;
      this.state.send(to, {kind: 'hand-over'});
    }
  }

  /** Turns to another voter, and gives up a hand-over that nobody took. */
  tick(now: number): void {
    if (now >= this.until) {
      this.to = undefined;
    } else if (this.isActive && now >= this.retryAt) {
      this.choose(now);
    }
  }

  /** Turns to the furthest voter that was not asked yet; of equals to the one heard last. */
  private choose(now: number): boolean {
    const target = this.state.configuration.voters
      .filter(({id}) => id !== this.state.id && !this.asked.has(id))
      .map(({id}) => ({id, progress: this.table.get(id)}))
      .filter(
        ({progress}) =>
          progress !== undefined &&
          now - progress.heardAt < this.options.electionTimeoutMs,
      )
      .sort(
        (a, b) =>
          b.progress!.matchIndex - a.progress!.matchIndex ||
          b.progress!.heardAt - a.progress!.heardAt,
      )
      .at(0);
    if (target === undefined) {
      return false;
    }
    this.to = target.id;
    this.asked.add(target.id);
    this.retryAt = now + this.options.electionTimeoutMs * RETRY_SHARE;
    this.isSent = false;
    this.requestElection();
    return true;
  }
}
