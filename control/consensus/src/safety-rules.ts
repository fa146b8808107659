import {isVoter, type Configuration} from './configuration.js';
import type {LogPosition} from './entry.js';

/**
 * The safety rules of the protocol, one method each, so that tests can disable them
 * individually.
 */
export class SafetyRules {
  /** Whether a pre-vote precedes each election. */
  usesPreVote(): boolean {
    return true;
  }

  /**
   * Whether an entry may be committed because a majority holds it: only an entry of the
   * current term may.
   */
  mayCommit(entryTerm: number | undefined, currentTerm: number): boolean {
    return entryTerm === currentTerm;
  }

  /**
   * Whether a replica may vote. A replica with an empty log may not, because it may have
   * lost the record of an earlier vote.
   */
  mayVote(last: LogPosition): boolean {
    return last.index > 0;
  }

  /** Whether a candidate's log is at least as up to date as the voter's log. */
  isUpToDate(candidate: LogPosition, own: LogPosition): boolean {
    return candidate.term === own.term
      ? candidate.index >= own.index
      : candidate.term > own.term;
  }

  /** Whether a leader that loses contact with a majority steps down (check quorum). */
  checksQuorum(): boolean {
    return true;
  }

  /** Whether the vote of the current term went to another candidate. */
  hasVotedForOther(vote: string, candidate: string): boolean {
    return vote !== '' && vote !== candidate;
  }

  /**
   * Whether every majority of one configuration shares a voter with every majority of
   * the other, which holds if at most one voter changes.
   */
  isSafeVoterChange(from: Configuration, to: Configuration): boolean {
    const added = to.voters.filter(({id}) => !isVoter(from, id)).length;
    const removed = from.voters.filter(({id}) => !isVoter(to, id)).length;
    return added + removed <= 1;
  }

  /** Whether a read waits for a majority to confirm the leader. */
  readNeedsMajority(): boolean {
    return true;
  }
}
