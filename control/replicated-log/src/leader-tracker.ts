import type {Consensus} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';

/** Options of a leader tracker. */
export interface LeaderTrackerOptions {
  readonly consensus: Consensus;
  /** Base URL of the leader, if known. */
  readonly leaderUrl: () => string | undefined;
  readonly events: EventLog;
}

/** Records an event whenever the leader changes. */
export class LeaderTracker {
  /** ID and term of the last recorded leader. */
  private lastRecorded: string | undefined;
  private wasLeader = false;

  constructor(private readonly options: LeaderTrackerOptions) {}

  /** Whether this replica was the leader at the last update. */
  get isLeader(): boolean {
    return this.wasLeader;
  }

  /** Checks for a change of the leader. */
  update(): void {
    const {role, leaderId, term} = this.options.consensus;
    const isLeader = role === 'leader';
    if (this.wasLeader && !isLeader) {
      this.options.events.record('leadership-lost', {term});
    }
    this.wasLeader = isLeader;
    if (leaderId !== undefined && this.lastRecorded !== `${leaderId} ${term}`) {
      this.lastRecorded = `${leaderId} ${term}`;
      this.recordLeader(isLeader, term);
    }
  }

  private recordLeader(isLeader: boolean, term: number): void {
    const leader = this.options.leaderUrl() ?? '';
    const name = isLeader ? 'leadership-won' : 'leader-followed';
    this.options.events.record(name, {leader, term});
  }
}
