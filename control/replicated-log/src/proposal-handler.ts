import {Result} from 'true-myth';
import {majority, type Consensus} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';
import type {PendingProposals} from './pending-proposals.js';

/** Options of a proposal handler. */
export interface ProposalHandlerOptions<Answer> {
  readonly consensus: Consensus;
  readonly proposals: PendingProposals<Answer>;
  /** Base URL of this replica. */
  readonly url: string;
  /** Desired number of voters. */
  readonly desiredVoters: () => number;
  /** Base URL of the leader, if known. */
  readonly leaderUrl: () => string | undefined;
  readonly diskRefusal: () => Fault | undefined;
  readonly isStopping: () => boolean;
}

const MAX_COMMAND_BYTES = 16_777_216;

/** Proposes commands to the log, or rejects them immediately. */
export class ProposalHandler<Command, Answer> {
  constructor(private readonly options: ProposalHandlerOptions<Answer>) {}

  /** Proposes a command at time `now`; resolves once the command is applied. */
  propose(command: Command, now: number): Promise<Result<Answer, Fault>> {
    const bytes = Buffer.byteLength(JSON.stringify(command));
    const rejection = this.findRejection(bytes);
    if (rejection !== undefined) {
      return Promise.resolve(Result.err(rejection));
    }
    const {consensus, proposals} = this.options;
    const position = consensus.propose(command, bytes, now);
    return position === undefined
      ? Promise.resolve(Result.err(this.createNotLeaderFault()))
      : proposals.add(position);
  }

  private findRejection(bytes: number): Fault | undefined {
    const {consensus, desiredVoters, diskRefusal, isStopping} = this.options;
    if (consensus.role !== 'leader' || isStopping()) {
      return this.createNotLeaderFault();
    }
    const refusal = diskRefusal();
    if (refusal !== undefined) {
      return new Fault(
        refusal.code,
        `the leader cannot store changes: ${refusal.message}`,
      );
    }
    const voterCount = consensus.configuration.voters.length;
    if (voterCount < majority(desiredVoters())) {
      return new Fault('NO_QUORUM', `the group has only ${voterCount} voters`);
    }
    return bytes > MAX_COMMAND_BYTES
      ? new Fault('TOO_LARGE', `the command exceeds ${MAX_COMMAND_BYTES} bytes`)
      : undefined;
  }

  private createNotLeaderFault(): Fault {
    const leader = this.options.leaderUrl();
    const otherLeader = leader === this.options.url ? undefined : leader;
    return new Fault('NOT_LEADER', otherLeader ?? '');
  }
}
