import type {
  Configuration,
  Consensus,
  Entry,
  LogPosition,
} from '@marigoldspur/consensus';
import type {StateMachine} from './replicated-log.js';

/** Options of a state machine applier. */
export interface StateMachineApplierOptions<Command, Answer> {
  readonly machine: StateMachine<Command, Answer>;
  readonly consensus: Consensus;
  /** Called when a command was applied. */
  readonly onAnswer: (position: LogPosition, answer: Answer) => void;
  /** Called when a committed configuration change is applied. */
  readonly onConfiguration: (
    before: Configuration,
    after: Configuration,
    index: number,
  ) => void;
  /** Called when a snapshot from the leader was restored. */
  readonly onInstalled: (index: number) => void;
}

/** Applies committed entries to the state machine, in order. */
export class StateMachineApplier<Command, Answer> {
  /** The configuration at the last applied index. */
  private configuration: Configuration;

  constructor(
    private readonly options: StateMachineApplierOptions<Command, Answer>,
  ) {
    this.configuration = options.consensus.compactedTo.configuration;
  }

  /**
   * Restores a new snapshot from the leader, if any, then applies committed and synced
   * entries.
   */
  applyCommitted(): void {
    const {snapshot, entries} = this.options.consensus.takeCommitted();
    if (snapshot !== undefined) {
      this.options.machine.restore(snapshot.data);
      this.configuration = snapshot.configuration;
      this.options.onInstalled(snapshot.index);
    }
    entries.forEach(entry => this.applyEntry(entry));
  }

  private applyEntry(entry: Entry): void {
    const {content, index} = entry;
    switch (content.kind) {
      case 'command': {
        const command = content.command as Command;
        const answer = this.options.machine.apply(command);
        this.options.onAnswer(entry, answer);
        return;
      }
      case 'configuration': {
        const before = this.configuration;
        this.configuration = content.configuration;
        this.options.onConfiguration(before, content.configuration, index);
        return;
      }
      case 'no-op':
    }
  }
}
