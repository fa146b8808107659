import {isVoter, type Configuration} from './configuration.js';
import type {LogPosition} from './entry.js';

/** The conditions that keep a group safe, each on its own. */
export class SafetyRules {
  /** Whether elections are preceded by a pre-vote. */
  usesPreVote(): boolean {
    return true;
  }

  /** Whether an entry may count as committed once a majority holds it. */
  mayCommit(entryTerm: number | undefined, currentTerm: number): boolean {
    return entryTerm === currentTerm;
  }

  /** Whether a replica may give votes at all: an empty one has lost what it voted. */
  mayVote(last: LogPosition): boolean {
    return last.index > 0;
  }

  /** Whether a candidate's log holds all that the voter's own holds. */
  isUpToDate(candidate: LogPosition, own: LogPosition): boolean {
    return candidate.term === own.term
      ? candidate.index >= own.index
      : candidate.term > own.term;
  }

  /** Whether a leader must hear a majority to stay leader. */
  checksQuorum(): boolean {
    return true;
  }

  /** Whether a vote of the current term stands against another candidate. */
  hasVotedForOther(vote: string, candidate: string): boolean {
    return vote !== '' && vote !== candidate;
  }

  /** Whether majorities of two configurations always share a voter. */
  isSafeVoterChange(from: Configuration, to: Configuration): boolean {
    const added = to.voters.filter(({id}) => !isVoter(from, id)).length;
    const removed = from.voters.filter(({id}) => !isVoter(to, id)).length;
    return added + removed <= 1;
  }

  /** Whether a read waits until a majority confirms the leader. */
  readNeedsMajority(): boolean {
    return true;
  }
}
