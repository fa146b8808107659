import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {withTimeout} from '@marigoldspur/bounded-signal';
import type {DeploymentText, NamedVersion} from '@marigoldspur/deployment';
import type {ReplaceOutcome} from '@marigoldspur/deployment-state';
import {Fault, toFault} from '@marigoldspur/faults';
import type {FleetCommands} from '@marigoldspur/fleet';
import {exchangeJson, jsonHandler} from '@marigoldspur/http-link';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import {COMMAND_SCHEMA, type Command, type CommandAnswer} from './command.js';

/** Path at which a replica takes commands that another one passes on. */
export const COMMANDS_PATH = '/commands';

/** What a command relay works with. */
export interface CommandForwarderOptions {
  readonly log: ReplicatedLog<Command, CommandAnswer>;
  /** Connections to the other replicas. */
  readonly agent: http.Agent;
}

/** Operators turn to another replica after a second without an answer. */
const SUBMIT_TIMEOUT_MS = 900;
/** While an election runs no replica leads; the next try is to find the winner soon. */
const RETRY_PAUSE_MS = 30;
const MAX_COMMAND_BYTES = 33_554_432;
const MAX_ANSWER_BYTES = 65_536;

/**
 * Commits commands at the leader, whichever replica they are sent to. All of them are
 * idempotent, so that one whose outcome is open is sent again.
 */
export class CommandForwarder implements FleetCommands {
  constructor(private readonly options: CommandForwarderOptions) {}

  /** Takes the commands that other replicas pass on. */
  createHandler() {
    return jsonHandler({
      maxBodyBytes: MAX_COMMAND_BYTES,
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
        : Result.err(unexpected(value)),
    );
  }

  async nameVersion(named: NamedVersion): Promise<Result<undefined, Fault>> {
    const answer = await this.submit({command: 'name-version', named});
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
        : Result.err(unexpected(value)),
    );
  }

  /** Commits a command; what is not committed in time may still be later. */
  async submit(command: Command): Promise<Result<CommandAnswer, Fault>> {
    const deadline = performance.now() + SUBMIT_TIMEOUT_MS;
    let last = new Fault('NO_QUORUM', 'no replica leads');
    for (;;) {
      const leftMs = deadline - performance.now();
      if (leftMs <= 0) {
        return Result.err(last);
      }
      const answer = await this.tryOnce(command, leftMs);
      if (answer.isOk || answer.error.code === 'TOO_LARGE') {
        return answer;
      }
      last = answer.error;
      await pause(Math.min(RETRY_PAUSE_MS, leftMs));
    }
  }

  private async tryOnce(
    command: Command,
    leftMs: number,
  ): Promise<Result<CommandAnswer, Fault>> {
    const proposed = await withTimeout(
      this.options.log.propose(command),
      leftMs,
      notCommittedYet,
    );
    if (proposed.isOk || proposed.error.code !== 'NOT_LEADER') {
      return proposed;
    }
    const leader = proposed.error.message;
    return leader === '' ? proposed : this.passOn(leader, command, leftMs);
  }

  private async passOn(
    leader: string,
    command: Command,
    leftMs: number,
  ): Promise<Result<CommandAnswer, Fault>> {
    try {
      const answer = await exchangeJson({
        url: new URL(COMMANDS_PATH, leader),
        body: command,
        agent: this.options.agent,
        signal: AbortSignal.timeout(Math.ceil(leftMs)),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      return Result.ok(answer as CommandAnswer);
    } catch (thrown) {
      return Result.err(toFault(thrown));
    }
  }
}

function unexpected(answer: CommandAnswer): Fault {
  return new Fault('INTERNAL', `unexpected answer "${answer.command}"`);
}

function notCommittedYet(): Result<CommandAnswer, Fault> {
  return Result.err(new Fault('TIMEOUT', 'the command is not committed yet'));
}
