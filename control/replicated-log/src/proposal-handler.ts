import {Result} from 'true-myth';
import {majority, type Consensus} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';
import type {PendingProposals} from './pending-proposals.js';

/** Options of a proposal desk. */
export interface ProposalHandlerOptions<Answer> {
  readonly consensus: Consensus;
  readonly proposals: PendingProposals<Answer>;
  /** Base URL of this replica. */
  readonly url: string;
  /** Voters that the group is to have. */
  readonly desiredVoters: () => number;
  /** Base URL of the leader, where known. */
  readonly leaderUrl: () => string | undefined;
  readonly isDiskFull: () => boolean;
  readonly isStopping: () => boolean;
}

const MAX_COMMAND_BYTES = 16_777_216;

/** Takes commands into the log, or says at once why it can't. */
export class ProposalHandler<Command, Answer> {
  constructor(private readonly options: ProposalHandlerOptions<Answer>) {}

  /** Proposes a command at time `now`; the answer comes once it is applied. */
  propose(command: Command, now: number): Promise<Result<Answer, Fault>> {
    const bytes = Buffer.byteLength(JSON.stringify(command));
    const refusal = this.refusal(bytes);
    if (refusal !== undefined) {
      return Promise.resolve(Result.err(refusal));
    }
    const {consensus, proposals} = this.options;
    const position = consensus.propose(command, bytes, now);
    return position === undefined
      ? Promise.resolve(Result.err(this.notLeader()))
      : proposals.add(position);
  }

  private refusal(bytes: number): Fault | undefined {
    const {consensus, desiredVoters, isDiskFull, isStopping} = this.options;
    if (consensus.role !== 'leader' || isStopping()) {
      return this.notLeader();
    }
    if (isDiskFull()) {
      return new Fault('DISK_FULL', 'the disk of the leader is full');
    }
    const copies = consensus.configuration.voters.length;
    if (copies < majority(desiredVoters())) {
      return new Fault('NO_QUORUM', `only ${copies} replicas count as voters`);
    }
    return bytes > MAX_COMMAND_BYTES
      ? new Fault('TOO_LARGE', `a command is over ${MAX_COMMAND_BYTES} bytes`)
      : undefined;
  }

  private notLeader(): Fault {
    const leader = this.options.leaderUrl();
    const other = leader === this.options.url ? undefined : leader;
    return new Fault('NOT_LEADER', other ?? '');
  }
}
