import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {SettingsView} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';
import type {Change, SettingsTree} from '@marigoldspur/settings-schema';
import type {Operation} from './linearizability.js';
import type {SettingsAnswer, SettingsCall} from './settings-model.js';

/** The calls and answers of operators, with their times. */
export type OperatorHistory = Array<Operation<SettingsCall, SettingsAnswer>>;

/** Options of an operator. */
export interface OperatorOptions {
  readonly name: string;
  readonly urls: readonly string[];
  readonly operations: number;
  readonly random: RandomGenerator;
  /** Gets each call, answered or not. */
  readonly history: OperatorHistory;
}

const CALL_TIMEOUT_MS = 400;
const RESENDS = 60;
const READ_PERCENT = 30;
const RESEND_PERCENT = 20;
const PERCENT = 100;
/** Each change puts its own number here, so that a read shows which change won. */
const MARK = 'queueLimit';
const MAX_MARK = 100_000;

/** One operator: reads, races others for the next number, and resends. */
export class Operator {
  private readonly client: ControlClient;
  private revision = 0;
  private readonly open = new Set<string>();

  constructor(
    private readonly options: OperatorOptions,
    private readonly marks: ChangeMarks,
  ) {
    const {urls, random} = options;
    const first = uniformInt(random, 0, urls.length - 1);
    this.client = new ControlClient({
      urls: [...urls.slice(first), ...urls.slice(0, first)],
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  async run(): Promise<void> {
    for (let count = 0; count < this.options.operations; count += 1) {
      if (this.chance(READ_PERCENT)) {
        await this.read();
      } else {
        await this.change();
      }
    }
    this.client.close();
  }

  private async read(): Promise<void> {
    await this.record({kind: 'read'}, async () => {
      const view = await this.readAnywhere();
      if (view === undefined) {
        return undefined;
      }
      this.revision = view.revision;
      return {
        kind: 'read',
        revision: view.revision,
        head: this.marks.idOf(view.tree),
      };
    });
  }

  /** A fresh read from any replica, which need not lead. */
  private async readAnywhere(): Promise<SettingsView | undefined> {
    const {urls, random} = this.options;
    const url = urls[uniformInt(random, 0, urls.length - 1)];
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    try {
      const {readSettings} = this.client.replica(url);
      return await readSettings.query({fresh: true}, {signal});
    } catch {
      return undefined;
    }
  }

  /** Proposes a change until it is answered, and now and then once more. */
  private async change(): Promise<void> {
    const change = this.marks.next(this.options.name, this.revision + 1);
    for (let sent = 0; sent < RESENDS; sent += 1) {
      const answer = await this.propose(change);
      if (answer !== undefined) {
        this.revision = answer.kind === 'read' ? 0 : answer.revision;
        break;
      }
    }
    if (this.chance(RESEND_PERCENT)) {
      await this.propose(change);
    }
  }

  private propose(change: Change): Promise<SettingsAnswer | undefined> {
    const call = {
      kind: 'propose',
      id: change.id,
      number: change.number,
    } as const;
    return this.record(call, async () => {
      const outcome = await this.client.call(
        (replica, signal) => replica.changeSettings.mutate(change, {signal}),
        performance.now() + CALL_TIMEOUT_MS,
      );
      if (outcome.isErr) {
        return undefined;
      }
      const {value} = outcome;
      switch (value.outcome) {
        case 'accepted':
          return {kind: 'accepted', revision: value.revision};
        case 'conflict':
          return {
            kind: 'conflict',
            revision: value.revision,
            winner: value.winner,
          };
        case 'invalid':
          throw new Error(`a change is invalid: ${JSON.stringify(value)}`);
      }
    });
  }

  private async record(
    call: SettingsCall,
    send: () => Promise<SettingsAnswer | undefined>,
  ): Promise<SettingsAnswer | undefined> {
    const calledAt = performance.now();
    const answer = await send();
    if (answer !== undefined) {
      const answeredAt = performance.now();
      this.options.history.push({call, calledAt, answer, answeredAt});
    } else if (call.kind === 'propose' && !this.open.has(call.id)) {
      // A later resend that stays open can do nothing that this one can't.
      this.open.add(call.id);
      this.options.history.push({call, calledAt});
    }
    return answer;
  }

  private chance(percent: number): boolean {
    return uniformInt(this.options.random, 1, PERCENT) <= percent;
  }
}

/** Makes changes that leave their mark in the tree. */
export class ChangeMarks {
  private readonly ids: string[] = [''];

  /** The next change, for a number. */
  next(author: string, number: number): Change {
    const mark = this.ids.length;
    if (mark > MAX_MARK) {
      throw new Error('too many changes in one history');
    }
    const id = `00000000-0000-4000-8000-${String(mark).padStart(12, '0')}`;
    this.ids.push(id);
    return {
      id,
      number,
      author,
      edits: [{edit: 'set', path: '/', setting: MARK, value: mark}],
    };
  }

  /** The change that a tree shows as the latest; empty before the first. */
  idOf(tree: SettingsTree): string {
    return this.ids[tree.settings[MARK] ?? 0];
  }
}
