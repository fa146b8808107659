import type {ConsensusOptions} from './consensus-options.js';
import type {ProgressTable} from './progress-table.js';
import type {ReplicaState} from './replica-state.js';

/** Hands leadership to another voter: brings it up to the log, then asks it to hold an election. */
export class HandOver {
  private to: string | undefined;
  private until = 0;
  private isSent = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly table: ProgressTable,
  ) {}

  /** Whether leadership is on its way to another. */
  get isActive(): boolean {
    return this.to !== undefined;
  }

  /** Chooses the voter that is furthest; false where none answers. */
  start(now: number): boolean {
    const target = this.state.configuration.voters
      .filter(({id}) => id !== this.state.id)
      .map(({id}) => ({id, progress: this.table.get(id)}))
      .filter(
        ({progress}) =>
          progress !== undefined &&
          now - progress.heardAt < this.options.electionTimeoutMs,
      )
      .sort((a, b) => b.progress!.match - a.progress!.match)
      .at(0);
    if (target === undefined) {
      return false;
    }
    this.to = target.id;
    this.until = now + this.options.electionTimeoutMs;
    this.isSent = false;
    this.proceed();
    return true;
  }

  /** Asks for the election once the voter holds the whole log. */
  proceed(): void {
    const {to} = this;
    if (to === undefined || this.isSent) {
      return;
    }
    if (this.table.get(to)?.match === this.state.log.last.index) {
      this.isSent = true;
      this.state.send(to, {kind: 'hand-over'});
    }
  }

  /** Gives up a hand-over that nobody took. */
  tick(now: number): void {
    if (now >= this.until) {
      this.to = undefined;
    }
  }
}
