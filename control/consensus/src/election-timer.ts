import type {ConsensusOptions} from './consensus-options.js';

/** Shortest wait until an election is held again, as a share of the election timeout; the longest is three times that. */
const RETRY_SHARE = 0.25;

/** When a replica that hears no leader holds an election. */
export class ElectionTimer {
  private holdsAt = 0;

  constructor(private readonly options: ConsensusOptions) {}

  /** When the election is held. */
  get dueAt(): number {
    return this.holdsAt;
  }

  isDue(now: number): boolean {
    return now >= this.holdsAt;
  }

  /** Waits a whole election timeout, spread over the replicas. */
  reset(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.holdsAt = now + electionTimeoutMs * (1 + random());
  }

  /** An election that nobody wins is held again sooner than the first: the silence is known. */
  retry(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    const share = RETRY_SHARE * (1 + 2 * random());
    this.holdsAt = now + electionTimeoutMs * share;
  }

  /** Holds the election with the next tick. */
  hurry(now: number): void {
    this.holdsAt = now;
  }
}
