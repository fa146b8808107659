import {expect} from 'chai';
import type {Change, Edit} from '@marigoldspur/settings-schema';
import {
  SettingsState,
  listEffectiveSettings,
  resolveSettings,
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

it('settings state: of two changes with the same number one wins and the other returns the winner’s ID', () => {
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

it('settings state: a resend returns the first outcome', () => {
  const state = new SettingsState();
  const first = change(1, createCustomer('callao'));
  state.apply(first);
  state.apply(change(2, createCustomer('fretwell')));
  expect(state.apply(first)).to.deep.equal({outcome: 'accepted', revision: 1});
  expect(state.revision).to.equal(2);
});

it('settings state: a level inherits and overrides settings', () => {
  const state = new SettingsState();
  state.apply(change(1, createCustomer('callao')));
  state.apply(
    change(
      2,
      {edit: 'set', path: '/', setting: 'priority', value: 7},
      {edit: 'set', path: '/callao', setting: 'queueLimit', value: 3},
    ),
  );
  const settings = resolveSettings(state.tree, '/callao');
  expect(settings?.priority).to.equal(7);
  expect(settings?.queueLimit).to.equal(3);
  const rows = listEffectiveSettings(state.tree, '/callao') ?? [];
  const level = (name: string) => rows.find(row => row.setting === name)?.level;
  expect(level('priority')).to.equal('/');
  expect(level('queueLimit')).to.equal('/callao');
  expect(level('repeatable')).to.equal('default');
});

it('settings state: all findings of a change are reported together', () => {
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
  expect(places).to.deep.equal([
    'edits.0.priority',
    'edits.1.nonsense',
    'edits.2.path',
  ]);
  expect(state.revision).to.equal(0);
});

it('settings state: names of inherited object properties are not levels', () => {
  const state = new SettingsState();
  expect(resolveSettings(state.tree, '/constructor')).to.equal(undefined);
});

function modelService(versions: Record<string, {digest: string}>): Edit[] {
  const customer = createCustomer('callao');
  const service: Edit = {
    edit: 'create-service',
    path: '/callao/lm-desk',
    value: {
      kind: 'model',
      baseModel: 'base',
      store: 'store',
      settings: {},
      adapters: {recap: {settings: {}, versions: withRetired(versions)}},
    },
  };
  return [customer, service];
}

function withRetired(versions: Record<string, {digest: string}>) {
  return Object.fromEntries(
    Object.entries(versions).map(([name, value]) => [
      name,
      {...value, retired: false},
    ]),
  );
}

function addVersion(version: string, digest: string, retired = false): Edit {
  const path = '/callao/lm-desk/recap';
  return {edit: 'add-version', path, version, value: {digest, retired}};
}

function stateWithRecap(): SettingsState {
  const state = new SettingsState();
  const {outcome} = state.apply(
    change(1, ...modelService({v1: {digest: 'd1'}})),
  );
  expect(outcome).to.equal('accepted');
  return state;
}

it('settings state: resends of a conflicting and of an invalid change return the first outcome', () => {
  const state = new SettingsState();
  const winner = change(1, createCustomer('callao'));
  const loser = change(1, createCustomer('fretwell'));
  const invalid = change(2, {edit: 'remove', path: '/nobody'});
  state.apply(winner);
  const firstLost = state.apply(loser);
  const firstInvalid = state.apply(invalid);
  state.apply(change(2, createCustomer('nobody')));
  expect(state.apply(loser)).to.deep.equal(firstLost);
  expect(state.apply(invalid)).to.deep.equal(firstInvalid);
  expect(state.revision).to.equal(2);
});

it('settings state: resends return the first outcome after a snapshot', () => {
  const state = new SettingsState();
  const sent = [
    change(1, createCustomer('callao')),
    change(1, createCustomer('fretwell')),
    change(2, {edit: 'remove', path: '/nobody'}),
  ];
  const first = sent.map(each => state.apply(each));
  const restored = new SettingsState();
  restored.restore(JSON.parse(JSON.stringify(state.snapshot())));
  restored.apply(change(2, createCustomer('fretwell')));
  expect(sent.map(each => restored.apply(each))).to.deep.equal(first);
});

it('settings state: an accepted change is not applied again after its answer was dropped', () => {
  const state = new SettingsState({maxKeptAnswers: 2});
  const first = change(1, createCustomer('callao'));
  state.apply(first);
  for (let number = 2; number <= 4; number += 1) {
    state.apply(change(number, createCustomer(`customer-${number}`)));
  }
  expect(state.apply(first)).to.include({outcome: 'conflict', revision: 4});
});

it('settings state: an ID reused for another change is invalid', () => {
  const state = new SettingsState();
  const first = change(1, createCustomer('callao'));
  state.apply(first);
  const other = {...first, edits: [createCustomer('fretwell')]};
  expect(state.apply(other).outcome).to.equal('invalid');
});

it('settings state: kept changes are bounded by size, and older revisions have no delta', () => {
  const state = new SettingsState({maxKeptBytes: 400});
  for (let number = 1; number <= 10; number += 1) {
    state.apply(change(number, createCustomer(`customer-${number}`)));
  }
  expect(state.changesAfter(0)).to.equal(undefined);
  expect(state.changesAfter(9)).to.have.length(1);
});

it('settings state: a version cannot change its digest', () => {
  const state = stateWithRecap();
  const outcome = state.apply(change(2, addVersion('v1', 'd2')));
  expect(outcome.outcome).to.equal('invalid');
});

it('settings state: a removed version cannot be added again with another digest', () => {
  const state = stateWithRecap();
  const remove: Edit = {edit: 'remove', path: '/callao/lm-desk/recap'};
  const create = (digest: string): Edit => ({
    edit: 'create-adapter',
    path: '/callao/lm-desk/recap',
    value: {settings: {}, versions: {v1: {digest, retired: false}}},
  });
  expect(state.apply(change(2, remove, create('d2'))).outcome).to.equal(
    'invalid',
  );
  expect(state.apply(change(2, remove)).outcome).to.equal('accepted');
  const restored = new SettingsState();
  restored.restore(JSON.parse(JSON.stringify(state.snapshot())));
  expect(restored.apply(change(3, create('d2'))).outcome).to.equal('invalid');
  expect(restored.apply(change(3, create('d1'))).outcome).to.equal('accepted');
});

it('settings state: a replacement of the whole tree can neither change a digest nor unretire a version', () => {
  const state = stateWithRecap();
  const path = '/callao/lm-desk/recap';
  state.apply(change(2, {edit: 'retire-version', path, version: 'v1'}));
  const replace = (version: {digest: string; retired: boolean}) => {
    const tree = structuredClone(state.tree);
    const service = tree.customers['callao'].services['lm-desk'];
    if (service.kind === 'model') {
      service.adapters['recap'].versions['v1'] = version;
    }
    return change(3, {edit: 'replace', value: tree});
  };
  const swapped = state.apply(replace({digest: 'd2', retired: true}));
  const revived = state.apply(replace({digest: 'd1', retired: false}));
  expect(swapped.outcome).to.equal('invalid');
  expect(revived.outcome).to.equal('invalid');
  expect(state.apply(change(3, addVersion('v1', 'd1'))).outcome).to.equal(
    'invalid',
  );
  const same = state.apply(replace({digest: 'd1', retired: true}));
  expect(same.outcome).to.equal('accepted');
});

it('settings state: a service with a name that already exists is rejected', () => {
  const state = stateWithRecap();
  const duplicate: Edit = {
    edit: 'create-service',
    path: '/callao/other',
    value: {
      kind: 'model',
      baseModel: 'base',
      store: 'store',
      settings: {},
      adapters: {recap: {settings: {}, versions: {}}},
    },
  };
  expect(state.apply(change(2, duplicate)).outcome).to.equal('invalid');
});

it('settings state: a change does not modify the previous tree', () => {
  const state = stateWithRecap();
  const before = state.tree;
  const text = JSON.stringify(before);
  state.apply(
    change(
      2,
      addVersion('v2', 'd2'),
      addVersion('v3', 'd3'),
      {edit: 'set', path: '/callao', setting: 'priority', value: 1},
      {
        edit: 'set',
        path: '/callao/lm-desk/recap',
        setting: 'priority',
        value: 2,
      },
    ),
  );
  expect(JSON.stringify(before)).to.equal(text);
  expect(
    resolveSettings(state.tree, '/callao/lm-desk/recap')?.priority,
  ).to.equal(2);
});
