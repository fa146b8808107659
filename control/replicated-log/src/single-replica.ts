import {open, mkdir, readFile, type FileHandle} from 'node:fs/promises';
import path from 'node:path';
import {crc32} from 'node:zlib';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import type {LogStatus, ReplicatedLog, StateMachine} from './replicated-log.js';

const LOG_FILE = 'log.jsonl';

/** Opens a log of one replica, whose majority is its own disk. */
export async function openSingleReplica<Command, Answer>(
  machine: StateMachine<Command, Answer>,
  options: {readonly folder: string; readonly id: string},
): Promise<ReplicatedLog<Command, Answer>> {
  await mkdir(options.folder, {recursive: true});
  const file = path.join(options.folder, LOG_FILE);
  const handle = await open(file, 'a');
  const lines = (await readFile(file, 'utf8')).split('\n').slice(0, -1);
  for (const line of lines) {
    machine.apply(parseLine(line));
  }
  return new SingleReplica(machine, handle, options.id, lines.length);
}

class SingleReplica<Command, Answer> implements ReplicatedLog<Command, Answer> {
  private tail: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly machine: StateMachine<Command, Answer>,
    private readonly handle: FileHandle,
    private readonly id: string,
    private lastIndex: number,
  ) {}

  propose(command: Command): Promise<Result<Answer, Fault>> {
    const appended = this.tail.then(async () => {
      const text = JSON.stringify(command);
      await this.handle.write(`${crc32(text).toString(16)} ${text}\n`);
      await this.handle.sync();
      this.lastIndex += 1;
      return Result.ok<Answer, Fault>(this.machine.apply(command));
    });
    this.tail = appended;
    return appended;
  }

  async readBarrier(): Promise<Result<undefined, Fault>> {
    await this.tail;
    return Result.ok(undefined);
  }

  status(): LogStatus {
    return {
      role: 'leader',
      term: 1,
      commitIndex: this.lastIndex,
      lastIndex: this.lastIndex,
      voters: [this.id],
    };
  }

  async stop(): Promise<void> {
    await this.tail;
    await this.handle.close();
  }
}

function parseLine<Command>(line: string): Command {
  const space = line.indexOf(' ');
  const text = line.slice(space + 1);
  if (crc32(text).toString(16) !== line.slice(0, space)) {
    throw new Fault('CORRUPT_DATA', 'a log record has a wrong checksum');
  }
  return JSON.parse(text) as Command;
}
