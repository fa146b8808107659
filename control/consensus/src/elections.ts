import {majority} from './configuration.js';
import type {ConsensusOptions} from './consensus-options.js';
import {ElectionTimer} from './election-timer.js';
import type {LogPosition} from './entry.js';
import type {MessageOf} from './messages.js';
import type {ReplicaState} from './replica-state.js';
import type {SafetyRules} from './safety-rules.js';

/**
 * Leader election with pre-vote: campaigns as a candidate, answers vote requests and
 * follows leaders.
 */
export class Elections {
  private readonly timer: ElectionTimer;
  private votes = new Set<string>();
  private lastLeaderContactAt = -Infinity;

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

  /** When `tick` must be called next. */
  get dueAt(): number {
    return this.timer.dueAt;
  }

  /** Starts an election if the election timeout has elapsed. */
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

  /** Makes the next tick start an election. */
  campaignOnNextTick(now: number): void {
    this.timer.expire(now);
  }

  /** Starts an election immediately because the leader is transferring leadership. */
  startTransferElection(now: number): void {
    if (this.state.isVoter) {
      this.campaign('candidate', true, now);
    }
  }

  /**
   * Becomes a follower in a term; `leader` is undefined if the leader is not known yet.
   */
  becomeFollower(term: number, leader: string | undefined, now: number): void {
    const {state} = this;
    state.role = 'follower';
    state.leaderId = leader;
    if (term !== state.term) {
      state.updateHardState({term, vote: ''});
    }
    this.timer.reset(now);
  }

  /** Records a message from the leader of the current term. */
  recordLeaderContact(now: number): void {
    this.lastLeaderContactAt = now;
    this.timer.resetRetries();
    this.timer.reset(now);
  }

  /** Answers a pre-vote request; it is granted if this replica would vote for the sender. */
  stepPreVote(message: MessageOf<'pre-vote'>, now: number): void {
    const {state, rules} = this;
    const granted =
      message.term > state.term &&
      rules.mayVote(state.log.last) &&
      !this.isInContactWithLeader(now) &&
      rules.isUpToDate(positionOf(message), state.log.last);
    const body = {kind: 'pre-vote-answer', granted} as const;
    state.sendAfterSync(
      message.from,
      body,
      granted ? message.term : state.term,
    );
  }

  /** Counts a granted pre-vote and starts an election once a majority has granted one. */
  stepPreVoteGranted(message: MessageOf<'pre-vote-answer'>, now: number): void {
    const {state} = this;
    if (state.role !== 'pre-candidate' || message.term !== state.term + 1) {
      return;
    }
    if (this.countVote(message.from)) {
      this.campaign('candidate', false, now);
    }
  }

  /**
   * Whether to ignore a vote request because this replica is in contact with a leader.
   */
  shouldIgnoreVote(message: MessageOf<'vote'>, now: number): boolean {
    return !message.handOver && this.isInContactWithLeader(now);
  }

  /** Answers a vote request; at most one candidate per term gets the vote. */
  stepVote(message: MessageOf<'vote'>, now: number): void {
    const {state, rules} = this;
    const granted =
      rules.mayVote(state.log.last) &&
      state.leaderId === undefined &&
      !rules.hasVotedForOther(state.vote, message.from) &&
      rules.isUpToDate(positionOf(message), state.log.last);
    if (granted) {
      if (state.vote !== message.from) {
        state.updateHardState({vote: message.from});
      }
      this.timer.reset(now);
    }
    state.sendAfterSync(message.from, {kind: 'vote-answer', granted});
  }

  /** Counts a vote; true if it wins the election. */
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
    isTransfer: boolean,
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
    this.requestVotes(role, isTransfer, term);
    this.timer.scheduleRetry(now);
  }

  private requestVotes(
    role: 'pre-candidate' | 'candidate',
    isTransfer: boolean,
    term: number,
  ): void {
    const {state} = this;
    const {index: lastIndex, term: lastTerm} = state.log.last;
    const others = state.configuration.voters.filter(({id}) => id !== state.id);
    if (role === 'candidate') {
      const body = {
        kind: 'vote',
        lastIndex,
        lastTerm,
        handOver: isTransfer,
      } as const;
      others.forEach(({id}) => state.sendAfterSync(id, body));
      state.sendAfterSync(state.id, {kind: 'vote-answer', granted: true});
      return;
    }
    const body = {kind: 'pre-vote', lastIndex, lastTerm} as const;
    others.forEach(({id}) => state.sendAfterSync(id, body, term));
    const ownAnswer = {kind: 'pre-vote-answer', granted: true} as const;
    state.sendAfterSync(state.id, ownAnswer, term);
  }

  private isInContactWithLeader(now: number): boolean {
    if (!this.rules.checksQuorum()) {
      return false;
    }
    const {role, leaderId} = this.state;
    return (
      role === 'leader' ||
      (leaderId !== undefined &&
        now - this.lastLeaderContactAt < this.options.electionTimeoutMs)
    );
  }

  private countVote(from: string): boolean {
    const {voters} = this.state.configuration;
    this.votes.add(from);
    const granted = voters.filter(({id}) => this.votes.has(id)).length;
    return granted >= majority(voters.length);
  }
}

function positionOf(log: {lastIndex: number; lastTerm: number}): LogPosition {
  return {index: log.lastIndex, term: log.lastTerm};
}
