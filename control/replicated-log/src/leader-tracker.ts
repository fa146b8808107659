import type {Consensus} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';

/** Options of a leader watch. */
export interface LeaderTrackerOptions {
  readonly consensus: Consensus;
  /** Base URL of the leader, where known. */
  readonly leaderUrl: () => string | undefined;
  readonly events: EventLog;
}

/** Records who leads, each time that changes. */
export class LeaderTracker {
  private seen: string | undefined;
  private led = false;

  constructor(private readonly options: LeaderTrackerOptions) {}

  /** Whether this replica led when it was last looked at. */
  get isLeader(): boolean {
    return this.led;
  }

  /** Looks at who leads now. */
  update(): void {
    const {role, leaderId, term} = this.options.consensus;
    const leads = role === 'leader';
    if (this.led && !leads) {
      this.options.events.record('leadership-lost', {term});
    }
    this.led = leads;
    if (leaderId !== undefined && this.seen !== `${leaderId} ${term}`) {
      this.seen = `${leaderId} ${term}`;
      this.recordLeader(leads, term);
    }
  }

  private recordLeader(leads: boolean, term: number): void {
    const leader = this.options.leaderUrl() ?? '';
    const name = leads ? 'leadership-won' : 'leader-followed';
    this.options.events.record(name, {leader, term});
  }
}
