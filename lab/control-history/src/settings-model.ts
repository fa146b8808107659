import type {SequentialModel} from './linearizability.js';

/** What an operator asks of control. */
export type SettingsCall =
  | {readonly kind: 'read'}
  | {readonly kind: 'propose'; readonly id: string; readonly number: number};

/** What control answers. */
export type SettingsAnswer =
  | {readonly kind: 'read'; readonly revision: number; readonly head: string}
  | {readonly kind: 'accepted'; readonly revision: number}
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly winner: string | undefined;
    };

/** The winners of the numbers so far, and what each change was answered first. */
export interface SettingsHistory {
  readonly winners: readonly string[];
  readonly answers: ReadonlyMap<string, SettingsAnswer>;
}

/** Numbered changes as one process without faults would decide them. */
export const SETTINGS_MODEL: SequentialModel<
  SettingsHistory,
  SettingsCall,
  SettingsAnswer
> = {
  initial: {winners: [], answers: new Map()},
  step(state, call, answer) {
    if (call.kind === 'read') {
      const head = state.winners.at(-1) ?? '';
      const right: SettingsAnswer = {
        kind: 'read',
        revision: state.winners.length,
        head,
      };
      return agrees(right, answer) ? state : undefined;
    }
    const first = state.answers.get(call.id);
    if (first !== undefined) {
      // A call without an answer that changes nothing need not be placed.
      return answer !== undefined && agrees(first, answer) ? state : undefined;
    }
    const right = decide(state, call.number);
    if (!agrees(right, answer)) {
      return undefined;
    }
    return {
      winners:
        right.kind === 'accepted' ? [...state.winners, call.id] : state.winners,
      answers: new Map(state.answers).set(call.id, right),
    };
  },
  key(state) {
    const answers = [...state.answers]
      .map(([id, answer]) => `${id}:${text(answer)}`)
      .sort();
    return `${state.winners.join(',')}|${answers.join(',')}`;
  },
};

function decide(state: SettingsHistory, number: number): SettingsAnswer {
  const revision = state.winners.length;
  return number === revision + 1
    ? {kind: 'accepted', revision: number}
    : {kind: 'conflict', revision, winner: state.winners[number - 1]};
}

function agrees(right: SettingsAnswer, answer: SettingsAnswer | undefined) {
  return answer === undefined || text(right) === text(answer);
}

function text(answer: SettingsAnswer): string {
  switch (answer.kind) {
    case 'read':
      return `read ${answer.revision} ${answer.head}`;
    case 'accepted':
      return `accepted ${answer.revision}`;
    case 'conflict':
      return `conflict ${answer.revision} ${answer.winner}`;
  }
}
