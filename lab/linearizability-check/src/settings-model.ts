import type {SequentialModel} from './linearizability.js';

/** A call that an operator sends to control. */
export type SettingsCall =
  | {readonly kind: 'read'}
  | {readonly kind: 'propose'; readonly id: string; readonly number: number};

/** An answer of control to a call. */
export type SettingsAnswer =
  | {readonly kind: 'read'; readonly revision: number; readonly head: string}
  | {readonly kind: 'accepted'; readonly revision: number}
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly winner: string | undefined;
    };

/** State of the model: the ids of the accepted changes in the order of their numbers, and the first answer to each change. */
export interface SettingsModelState {
  readonly winners: readonly string[];
  readonly answers: ReadonlyMap<string, SettingsAnswer>;
}

/** Sequential specification of numbered changes: how a single process without faults decides them. */
export const SETTINGS_MODEL: SequentialModel<
  SettingsModelState,
  SettingsCall,
  SettingsAnswer
> = {
  initial: {winners: [], answers: new Map()},
  step(state, call, answer) {
    if (call.kind === 'read') {
      const head = state.winners.at(-1) ?? '';
      const expected: SettingsAnswer = {
        kind: 'read',
        revision: state.winners.length,
        head,
      };
      return isConsistent(expected, answer) ? state : undefined;
    }
    const first = state.answers.get(call.id);
    if (first !== undefined) {
      // An unanswered call that changes nothing does not need a place in the order.
      return answer !== undefined && isConsistent(first, answer)
        ? state
        : undefined;
    }
    const expected = decide(state, call.number);
    if (!isConsistent(expected, answer)) {
      return undefined;
    }
    return {
      winners:
        expected.kind === 'accepted'
          ? [...state.winners, call.id]
          : state.winners,
      answers: new Map(state.answers).set(call.id, expected),
    };
  },
  key(state) {
    const answers = [...state.answers]
      .map(([id, answer]) => `${id}:${toAnswerKey(answer)}`)
      .sort();
    return `${state.winners.join(',')}|${answers.join(',')}`;
  },
};

function decide(state: SettingsModelState, number: number): SettingsAnswer {
  const revision = state.winners.length;
  return number === revision + 1
    ? {kind: 'accepted', revision: number}
    : {kind: 'conflict', revision, winner: state.winners[number - 1]};
}

function isConsistent(
  expected: SettingsAnswer,
  answer: SettingsAnswer | undefined,
) {
  return answer === undefined || toAnswerKey(expected) === toAnswerKey(answer);
}

function toAnswerKey(answer: SettingsAnswer): string {
  switch (answer.kind) {
    case 'read':
      return `read ${answer.revision} ${answer.head}`;
    case 'accepted':
      return `accepted ${answer.revision}`;
    case 'conflict':
      return `conflict ${answer.revision} ${answer.winner}`;
  }
}
