import {expect} from 'chai';
import type {Edit, SettingsTree} from '@marigoldspur/settings-schema';
import {locateAdapter, applyEdits} from '@marigoldspur/settings-tree';

const CUSTOMERS = 40;

function tree(): SettingsTree {
  const edits = Array.from({length: CUSTOMERS}, (_, index): Edit => ({
    edit: 'create-customer',
    customer: `customer-${index}`,
    value: {
      settings: {},
      services: {
        desk: {
          kind: 'model',
          baseModel: 'base',
          store: 'store',
          settings: {},
          adapters: {[`adapter-${index}`]: {settings: {}, versions: {}}},
        },
      },
    },
  }));
  return applied({settings: {}, customers: {}}, edits);
}

function applied(before: SettingsTree, edits: Edit[]): SettingsTree {
  const next = applyEdits(before, edits);
  if (next.isErr) {
    throw new Error(JSON.stringify(next.error));
  }
  return next.value;
}

function holder(of: SettingsTree, adapter: string): string | undefined {
  return locateAdapter(of, undefined, {adapter, version: 'v1'})?.customer;
}

it('adapter index: finds an adapter over all customers', () => {
  const now = tree();
  expect(holder(now, 'adapter-7')).to.equal('customer-7');
  expect(holder(now, 'adapter-99')).to.equal(undefined);
});

it('adapter index: follows changes and leaves earlier trees right', () => {
  const before = tree();
  expect(holder(before, 'adapter-3')).to.equal('customer-3');
  const after = applied(before, [
    {edit: 'remove', path: '/customer-3/desk/adapter-3'},
    {
      edit: 'create-adapter',
      path: '/customer-5/desk/adapter-x',
      value: {settings: {}, versions: {}},
    },
  ]);
  expect(holder(after, 'adapter-3')).to.equal(undefined);
  expect(holder(after, 'adapter-x')).to.equal('customer-5');
  expect(holder(after, 'adapter-5')).to.equal('customer-5');
  expect(holder(before, 'adapter-3')).to.equal('customer-3');
  expect(holder(before, 'adapter-x')).to.equal(undefined);
});

it('adapter index: a name in two customers is found in the first', () => {
  const before = tree();
  holder(before, 'adapter-1');
  const after = applied(before, [
    {
      edit: 'create-adapter',
      path: '/customer-0/desk/adapter-9',
      value: {settings: {}, versions: {}},
    },
  ]);
  expect(holder(after, 'adapter-9')).to.equal('customer-0');
});
