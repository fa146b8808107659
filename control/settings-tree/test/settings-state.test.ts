import {expect} from 'chai';
import type {Change, Edit} from '@marigoldspur/settings-schema';
import {
  SettingsState,
  settingsAt,
  settingsOf,
} from '@marigoldspur/settings-tree';

let count = 0;

function change(number: number, ...edits: Edit[]): Change {
  count += 1;
  const id = `00000000-0000-4000-8000-${String(count).padStart(12, '0')}`;
  return {id, number, author: 'test', edits};
}

function createCustomer(customer: string): Edit {
  return {
    edit: 'create-customer',
    customer,
    value: {settings: {}, services: {}},
  };
}

it('settings: equal numbers have one winner and the loser learns which', () => {
  const state = new SettingsState();
  const first = change(1, createCustomer('callao'));
  const second = change(1, createCustomer('fretwell'));
  expect(state.apply(first)).to.deep.equal({outcome: 'accepted', revision: 1});
  expect(state.apply(second)).to.deep.equal({
    outcome: 'conflict',
    revision: 1,
    winner: first.id,
  });
  expect(Object.keys(state.tree.customers)).to.deep.equal(['callao']);
});

it('settings: a resend gets the first answer', () => {
  const state = new SettingsState();
  const first = change(1, createCustomer('callao'));
  state.apply(first);
  state.apply(change(2, createCustomer('fretwell')));
  expect(state.apply(first)).to.deep.equal({outcome: 'accepted', revision: 1});
  expect(state.revision).to.equal(2);
});

it('settings: a level inherits and overrides', () => {
  const state = new SettingsState();
  state.apply(change(1, createCustomer('callao')));
  state.apply(
    change(
      2,
      {edit: 'set', path: '/', setting: 'priority', value: 7},
      {edit: 'set', path: '/callao', setting: 'queueLimit', value: 3},
    ),
  );
  const settings = settingsOf(state.tree, '/callao');
  expect(settings?.priority).to.equal(7);
  expect(settings?.queueLimit).to.equal(3);
  const rows = settingsAt(state.tree, '/callao') ?? [];
  const level = (name: string) => rows.find(row => row.setting === name)?.level;
  expect(level('priority')).to.equal('/');
  expect(level('queueLimit')).to.equal('/callao');
  expect(level('repeatable')).to.equal('default');
});

it('settings: all findings of a change are reported together', () => {
  const state = new SettingsState();
  const outcome = state.apply(
    change(
      1,
      {edit: 'set', path: '/', setting: 'priority', value: 70},
      {edit: 'set', path: '/', setting: 'nonsense', value: 1},
      {edit: 'remove', path: '/nobody'},
    ),
  );
  expect(outcome.outcome).to.equal('invalid');
  const places =
    outcome.outcome === 'invalid' ? outcome.findings.map(f => f.place) : [];
  expect(places).to.deep.equal(['edits.0.priority', 'edits.1', 'edits.2.path']);
  expect(state.revision).to.equal(0);
});

it('settings: names of object members are not levels', () => {
  const state = new SettingsState();
  expect(settingsOf(state.tree, '/constructor')).to.equal(undefined);
});
