import {majority} from './configuration.js';
import type {ConsensusOptions} from './consensus-options.js';
import {ElectionTimer} from './election-timer.js';
import type {LogPosition} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ReplicaState} from './replica-state.js';
import type {SafetyRules} from './safety-rules.js';

/** Elections with a pre-vote: the candidate's side, the voter's side and who is followed. */
export class Elections {
  private readonly timer: ElectionTimer;
  private votes = new Set<string>();
  private leaderHeardAt = -Infinity;

  constructor(
    private readonly state: ReplicaState,
    private readonly options: ConsensusOptions,
    private readonly rules: SafetyRules,
    now: number,
  ) {
    this.timer = new ElectionTimer(options);
    if (rules.usesPreVote()) {
      this.timer.scheduleFirst(now);
    } else {
      this.timer.reset(now);
    }
  }

  /** When `tick` is next to be called. */
  get dueAt(): number {
    return this.timer.dueAt;
  }

  /** Holds an election where no leader was heard for long. */
  tick(now: number): void {
    if (!this.timer.isDue(now)) {
      return;
    }
    this.timer.reset(now);
    if (this.state.isVoter) {
      const role = this.rules.usesPreVote() ? 'pre-candidate' : 'candidate';
      this.campaign(role, false, now);
    }
  }

  /** Holds an election with the next tick. */
  campaignOnNextTick(now: number): void {
    this.timer.expire(now);
  }

  /** Holds an election at once, as the leader asked for it. */
  startTransferElection(now: number): void {
    if (this.state.isVoter) {
      this.campaign('candidate', true, now);
    }
  }

  /** Follows a leader, or nobody yet, in a term. */
  becomeFollower(term: number, leader: string | undefined, now: number): void {
    const {state} = this;
    state.role = 'follower';
    state.leaderId = leader;
    if (term !== state.term) {
      state.updateHardState({term, vote: ''});
    }
    this.timer.reset(now);
  }

  /** The leader of the term was heard. */
  recordLeaderContact(now: number): void {
    this.leaderHeardAt = now;
    this.timer.resetRetries();
    this.timer.reset(now);
  }

  stepPreVote(message: MessageOf<'pre-vote'>, now: number): void {
    const {state, rules} = this;
    const granted =
      message.term > state.term &&
      rules.mayVote(state.log.last) &&
      !this.hearsLeader(now) &&
      rules.isUpToDate(lastOf(message), state.log.last);
    const body = {kind: 'pre-vote-answer', granted} as const;
    state.sendAfterSync(
      message.from,
      body,
      granted ? message.term : state.term,
    );
  }

  stepPreVoteGranted(message: MessageOf<'pre-vote-answer'>, now: number): void {
    const {state} = this;
    if (state.role !== 'pre-candidate' || message.term !== state.term + 1) {
      return;
    }
    if (this.countVote(message.from)) {
      this.campaign('candidate', false, now);
    }
  }

  /** Whether a request for a vote must not disturb the leader that is heard. */
  shouldIgnoreVote(message: MessageOf<'vote'>, now: number): boolean {
    return !message.handOver && this.hearsLeader(now);
  }

  stepVote(message: MessageOf<'vote'>, now: number): void {
    const {state, rules} = this;
    const granted =
      rules.mayVote(state.log.last) &&
      state.leaderId === undefined &&
      !rules.hasVotedForOther(state.vote, message.from) &&
      rules.isUpToDate(lastOf(message), state.log.last);
    if (granted) {
      if (state.vote !== message.from) {
        state.updateHardState({vote: message.from});
      }
      this.timer.reset(now);
    }
    state.sendAfterSync(message.from, {kind: 'vote-answer', granted});
  }

  /** Counts a vote; true where it wins the election. */
  stepVoteAnswer(message: MessageOf<'vote-answer'>): boolean {
    const won =
      this.state.role === 'candidate' &&
      message.granted &&
      this.countVote(message.from);
    if (won) {
      this.timer.resetRetries();
    }
    return won;
  }

  private campaign(
    role: 'pre-candidate' | 'candidate',
    handOver: boolean,
    now: number,
  ): void {
    const {state} = this;
    state.role = role;
    state.leaderId = undefined;
    this.votes = new Set();
    const term = state.term + 1;
    if (role === 'candidate') {
      state.updateHardState({term, vote: state.id});
    }
    this.askForVotes(role, handOver, term);
    this.timer.scheduleRetry(now);
  }

  private askForVotes(
    role: 'pre-candidate' | 'candidate',
    handOver: boolean,
    term: number,
  ): void {
    const {state} = this;
    const {index: lastIndex, term: lastTerm} = state.log.last;
    const others = state.configuration.voters.filter(({id}) => id !== state.id);
    if (role === 'candidate') {
      const body = {kind: 'vote', lastIndex, lastTerm, handOver} as const;
      others.forEach(({id}) => state.sendAfterSync(id, body));
      state.sendAfterSync(state.id, {kind: 'vote-answer', granted: true});
      return;
    }
    const body = {kind: 'pre-vote', lastIndex, lastTerm} as const;
    others.forEach(({id}) => state.sendAfterSync(id, body, term));
    const own = {kind: 'pre-vote-answer', granted: true} as const;
    state.sendAfterSync(state.id, own, term);
  }

  private hearsLeader(now: number): boolean {
    if (!this.rules.checksQuorum()) {
      return false;
    }
    const {role, leaderId: leader} = this.state;
    return (
      role === 'leader' ||
      (leader !== undefined &&
        now - this.leaderHeardAt < this.options.electionTimeoutMs)
    );
  }

  private countVote(from: string): boolean {
    const {voters} = this.state.configuration;
    this.votes.add(from);
    const granted = voters.filter(({id}) => this.votes.has(id)).length;
    return granted >= majority(voters.length);
  }
}

function lastOf(candidacy: {lastIndex: number; lastTerm: number}): LogPosition {
  return {index: candidacy.lastIndex, term: candidacy.lastTerm};
}
