import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {SettingsView} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';
import type {Change, SettingsTree} from '@marigoldspur/settings-schema';
import type {Operation} from './linearizability.js';
import type {SettingsAnswer, SettingsCall} from './settings-model.js';

/** The calls of operators with their answers and times. */
export type OperatorHistory = Array<Operation<SettingsCall, SettingsAnswer>>;

/** Options of an operator. */
export interface OperatorOptions {
  readonly name: string;
  /** Base URLs of the control replicas. */
  readonly urls: readonly string[];
  /** Number of operations to run. */
  readonly operations: number;
  readonly random: RandomGenerator;
  /** Receives each call, except unanswered reads and unanswered resends of a proposal. */
  readonly history: OperatorHistory;
}

const CALL_TIMEOUT_MS = 400;
const MAX_ATTEMPTS = 60;
const READ_PERCENT = 30;
const RESEND_PERCENT = 20;
const PERCENT = 100;
/** Each change sets this setting to a unique value, so that a read shows which change was accepted last. */
const MARKER_SETTING = 'queueLimit';
const MAX_CHANGES = 100_000;

/** An operator that reads settings, competes with others for the next change number and resends changes. */
export class Operator {
  private readonly client: ControlClient;
  private revision = 0;
  /** Ids of the proposals that are in the history without an answer. */
  private readonly openProposals = new Set<string>();

  constructor(
    private readonly options: OperatorOptions,
    private readonly changes: ChangeFactory,
  ) {
    const {urls, random} = options;
    const first = uniformInt(random, 0, urls.length - 1);
    this.client = new ControlClient({
      urls: [...urls.slice(first), ...urls.slice(0, first)],
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Runs all operations and closes the client. */
  async run(): Promise<void> {
    for (let count = 0; count < this.options.operations; count += 1) {
      if (this.isChosen(READ_PERCENT)) {
        await this.read();
      } else {
        await this.change();
      }
    }
    this.client.close();
  }

  private async read(): Promise<void> {
    await this.recordCall({kind: 'read'}, async () => {
      const view = await this.readFromRandomReplica();
      if (view === undefined) {
        return undefined;
      }
      this.revision = view.revision;
      return {
        kind: 'read',
        revision: view.revision,
        head: this.changes.latestChangeId(view.tree),
      };
    });
  }

  /** Reads fresh settings from a random replica, leader or not. */
  private async readFromRandomReplica(): Promise<SettingsView | undefined> {
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

  /** Proposes a change until it is answered, at most `MAX_ATTEMPTS` times, and in `RESEND_PERCENT` of the cases once more. */
  private async change(): Promise<void> {
    const change = this.changes.createChange(
      this.options.name,
      this.revision + 1,
    );
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const answer = await this.propose(change);
      if (answer !== undefined) {
        this.revision = answer.kind === 'read' ? 0 : answer.revision;
        break;
      }
    }
    if (this.isChosen(RESEND_PERCENT)) {
      await this.propose(change);
    }
  }

  private propose(change: Change): Promise<SettingsAnswer | undefined> {
    const call = {
      kind: 'propose',
      id: change.id,
      number: change.number,
    } as const;
    return this.recordCall(call, async () => {
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
          throw new Error(
            `control rejected a change as invalid: ${JSON.stringify(value)}`,
          );
      }
    });
  }

  private async recordCall(
    call: SettingsCall,
    send: () => Promise<SettingsAnswer | undefined>,
  ): Promise<SettingsAnswer | undefined> {
    const calledAt = performance.now();
    const answer = await send();
    if (answer !== undefined) {
      const answeredAt = performance.now();
      this.options.history.push({call, calledAt, answer, answeredAt});
    } else if (call.kind === 'propose' && !this.openProposals.has(call.id)) {
      // An unanswered resend can have no effect that the first unanswered proposal cannot have.
      this.openProposals.add(call.id);
      this.options.history.push({call, calledAt});
    }
    return answer;
  }

  /** Returns true with the given probability. */
  private isChosen(percent: number): boolean {
    return uniformInt(this.options.random, 1, PERCENT) <= percent;
  }
}

/** Creates changes that can be identified in the tree by the value that they set. */
export class ChangeFactory {
  private readonly ids: string[] = [''];

  /** Creates a change with a given change number and a marker value of its own. */
  createChange(author: string, number: number): Change {
    const marker = this.ids.length;
    if (marker > MAX_CHANGES) {
      throw new Error('too many changes in one history');
    }
    const id = `00000000-0000-4000-8000-${String(marker).padStart(12, '0')}`;
    this.ids.push(id);
    return {
      id,
      number,
      author,
      edits: [{edit: 'set', path: '/', setting: MARKER_SETTING, value: marker}],
    };
  }

  /** Returns the id of the latest change in a tree; empty before the first change. */
  latestChangeId(tree: SettingsTree): string {
    return this.ids[tree.settings[MARKER_SETTING] ?? 0];
  }
}
