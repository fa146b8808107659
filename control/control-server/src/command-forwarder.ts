import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {withTimeout} from '@marigoldspur/abort-signals';
import type {
  DeploymentText,
  NamedVersion,
  ServiceVersion,
} from '@marigoldspur/deployment';
import type {ReplaceOutcome} from '@marigoldspur/deployment-state';
import {Fault, toFault} from '@marigoldspur/faults';
import type {FleetCommands} from '@marigoldspur/fleet';
import {
  exchangeJson,
  createJsonHandler,
  type MessageMemory,
} from '@marigoldspur/http-link';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import {COMMAND_SCHEMA, type Command, type CommandAnswer} from './command.js';

/** Path at which a replica accepts commands forwarded by another replica. */
export const COMMANDS_PATH = '/commands';

/** Options of a command forwarder. */
export interface CommandForwarderOptions {
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  /** Connections to the other replicas. */
  readonly agent: http.Agent;
}

/** Shorter than one second, after which operators try another replica. */
const SUBMIT_TIMEOUT_MS = 900;
/** No replica leads during an election; a short delay reaches the new leader soon afterwards. */
const RETRY_DELAY_MS = 30;
const MAX_BODY_BYTES = 33_554_432;
const MAX_ANSWER_BYTES = 65_536;

/**
 * Commits commands at the leader, whichever replica receives them. All commands are
 * idempotent, so a command whose outcome is unknown is sent again.
 */
export class CommandForwarder implements FleetCommands {
  constructor(private readonly options: CommandForwarderOptions) {}

  /** Creates the HTTP handler for commands forwarded by other replicas. */
  createHandler(memory: MessageMemory) {
    return createJsonHandler({
      memory,
      maxBodyBytes: MAX_BODY_BYTES,
      answer: async message => {
        const command = COMMAND_SCHEMA.parse(message);
        const proposed = await this.options.log.propose(command);
        if (proposed.isErr) {
          throw proposed.error;
        }
        return proposed.value;
      },
    });
  }

  async replaceDeployment(
    deployment: DeploymentText,
  ): Promise<Result<ReplaceOutcome, Fault>> {
    const answer = await this.submit({
      command: 'replace-deployment',
      deployment,
    });
    return answer.andThen(value =>
      value.command === 'replace-deployment'
        ? Result.ok<ReplaceOutcome, Fault>(value.outcome)
        : Result.err(unexpectedAnswer(value)),
    );
  }

  async nameVersion(named: NamedVersion): Promise<Result<undefined, Fault>> {
    const answer = await this.submit({command: 'name-version', named});
    return answer.map(() => undefined);
  }

  async recordSoftwareVersion(
    version: ServiceVersion,
  ): Promise<Result<undefined, Fault>> {
    const command = 'record-software-version';
    const answer = await this.submit({command, version});
    return answer.map(() => undefined);
  }

  async grantFence(target: string): Promise<Result<number, Fault>> {
    const answer = await this.submit({
      command: 'grant-fence',
      target,
      boot: '',
    });
    return answer.andThen(value =>
      value.command === 'grant-fence'
        ? Result.ok<number, Fault>(value.fence)
        : Result.err(unexpectedAnswer(value)),
    );
  }

  /** Commits a command. A command that times out may still be committed later. */
  async submit(command: Command): Promise<Result<CommandAnswer, Fault>> {
    const deadline = performance.now() + SUBMIT_TIMEOUT_MS;
    let lastFault = new Fault('NO_QUORUM', 'control has no leader');
    for (;;) {
      const remainingMs = deadline - performance.now();
      if (remainingMs <= 0) {
        return Result.err(lastFault);
      }
      const answer = await this.submitOnce(command, remainingMs);
      if (answer.isOk || answer.error.code === 'TOO_LARGE') {
        return answer;
      }
      lastFault = answer.error;
      await pause(Math.min(RETRY_DELAY_MS, remainingMs));
    }
  }

  private async submitOnce(
    command: Command,
    remainingMs: number,
  ): Promise<Result<CommandAnswer, Fault>> {
    const proposed = await withTimeout(
      this.options.log.propose(command),
      remainingMs,
      commitTimeout,
    );
    if (proposed.isOk || proposed.error.code !== 'NOT_LEADER') {
      return proposed;
    }
    const leader = proposed.error.message;
    return leader === ''
      ? proposed
      : this.forward(leader, command, remainingMs);
  }

  private async forward(
    leader: string,
    command: Command,
    remainingMs: number,
  ): Promise<Result<CommandAnswer, Fault>> {
    try {
      const answer = await exchangeJson({
        url: new URL(COMMANDS_PATH, leader),
        body: command,
        agent: this.options.agent,
        signal: AbortSignal.timeout(Math.ceil(remainingMs)),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      return Result.ok(answer as CommandAnswer);
    } catch (thrown) {
      return Result.err(toFault(thrown));
    }
  }
}

function unexpectedAnswer(answer: CommandAnswer): Fault {
  return new Fault(
    'INTERNAL',
    `unexpected answer "${answer.command}" to a command`,
  );
}

function commitTimeout(): Result<CommandAnswer, Fault> {
  return Result.err(
    new Fault('TIMEOUT', 'the command was not committed in time'),
  );
}
