import {expect} from 'chai';
import fc from 'fast-check';
import type {Change, ChangeOutcome} from '@marigoldspur/settings-schema';
import {SettingsState} from '@marigoldspur/settings-tree';

const RUNS = {seed: 4, numRuns: 200};

/** A step for one of three customers, so that numbers and names collide often. */
const STEP = fc.oneof(
  fc.record({
    kind: fc.constant('propose' as const),
    ahead: fc.integer({min: -2, max: 2}),
    customer: fc.constantFrom('callao', 'fretwell', 'third'),
    remove: fc.boolean(),
  }),
  fc.record({kind: fc.constant('resend' as const), index: fc.nat()}),
  fc.record({kind: fc.constant('restart' as const)}),
);

/** Reference model of a settings state. */
class Model {
  readonly customers = new Set<string>();
  readonly winners: string[] = [];
  readonly answers = new Map<string, ChangeOutcome['outcome']>();

  apply(change: Change): ChangeOutcome['outcome'] {
    const first = this.answers.get(change.id);
    if (first !== undefined) {
      return first;
    }
    const outcome = this.decide(change);
    this.answers.set(change.id, outcome);
    return outcome;
  }

  private decide(change: Change): ChangeOutcome['outcome'] {
    if (change.number !== this.winners.length + 1) {
      return 'conflict';
    }
    const [edit] = change.edits;
    if (edit.edit === 'create-customer') {
      if (this.customers.has(edit.customer)) {
        return 'invalid';
      }
      this.customers.add(edit.customer);
    } else if (edit.edit === 'remove') {
      if (!this.customers.delete(edit.path.slice(1))) {
        return 'invalid';
      }
    }
    this.winners.push(change.id);
    return 'accepted';
  }
}

it('settings model: the state agrees with the model over any history of changes, resends and restarts', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 60, size: 'max'}), steps => {
      const model = new Model();
      const sent: Change[] = [];
      let state = new SettingsState();
      for (const step of steps) {
        if (step.kind === 'restart') {
          const snapshot = JSON.parse(JSON.stringify(state.snapshot()));
          state = new SettingsState();
          state.restore(snapshot);
          continue;
        }
        if (step.kind === 'propose') {
          sent.push(proposal(sent.length, state.revision, step));
        }
        const index = step.kind === 'resend' ? step.index : sent.length - 1;
        const change = sent[index % sent.length];
        if (change === undefined) {
          continue;
        }
        const before = state.revision;
        const answer = state.apply(change);
        expect(answer.outcome).to.equal(model.apply(change));
        expect(state.revision).to.equal(model.winners.length);
        expect(state.revision).to.be.at.least(before);
        if (answer.outcome === 'conflict') {
          const winner = model.winners[change.number - 1];
          if (winner !== undefined && change.number <= answer.revision) {
            expect(answer.winner).to.equal(winner);
          }
        }
        expect(Object.keys(state.tree.customers).sort()).to.deep.equal(
          [...model.customers].sort(),
        );
      }
    }),
    RUNS,
  );
});

function proposal(
  index: number,
  revision: number,
  step: {ahead: number; customer: string; remove: boolean},
): Change {
  const id = `00000000-0000-4000-8000-${String(index).padStart(12, '0')}`;
  const number = Math.max(1, revision + 1 + step.ahead);
  return {
    id,
    number,
    author: 'test',
    edits: [
      step.remove
        ? {edit: 'remove', path: `/${step.customer}`}
        : {
            edit: 'create-customer',
            customer: step.customer,
            value: {settings: {}, services: {}},
          },
    ],
  };
}
