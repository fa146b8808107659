import {expect} from 'chai';
import type {Edit, SettingsTree} from '@marigoldspur/settings-schema';
import {locateAdapter, applyEdits} from '@marigoldspur/settings-tree';

const CUSTOMER_COUNT = 40;

function createTree(): SettingsTree {
  const edits = Array.from({length: CUSTOMER_COUNT}, (_, index): Edit => ({
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
  return applyOrThrow({settings: {}, customers: {}}, edits);
}

function applyOrThrow(before: SettingsTree, edits: Edit[]): SettingsTree {
  const next = applyEdits(before, edits);
  if (next.isErr) {
    throw new Error(JSON.stringify(next.error));
  }
  return next.value;
}

function findCustomer(tree: SettingsTree, adapter: string): string | undefined {
  return locateAdapter(tree, undefined, {adapter, version: 'v1'})?.customer;
}

it('adapter index: finds an adapter among all customers', () => {
  const tree = createTree();
  expect(findCustomer(tree, 'adapter-7')).to.equal('customer-7');
  expect(findCustomer(tree, 'adapter-99')).to.equal(undefined);
});

it('adapter index: is updated by changes, and earlier trees still resolve correctly', () => {
  const before = createTree();
  expect(findCustomer(before, 'adapter-3')).to.equal('customer-3');
  const after = applyOrThrow(before, [
    {edit: 'remove', path: '/customer-3/desk/adapter-3'},
    {
      edit: 'create-adapter',
      path: '/customer-5/desk/adapter-x',
      value: {settings: {}, versions: {}},
    },
  ]);
  expect(findCustomer(after, 'adapter-3')).to.equal(undefined);
  expect(findCustomer(after, 'adapter-x')).to.equal('customer-5');
  expect(findCustomer(after, 'adapter-5')).to.equal('customer-5');
  expect(findCustomer(before, 'adapter-3')).to.equal('customer-3');
  expect(findCustomer(before, 'adapter-x')).to.equal(undefined);
});

it('adapter index: a name used by two customers resolves to the first one', () => {
  const before = createTree();
  findCustomer(before, 'adapter-1');
  const after = applyOrThrow(before, [
    {
      edit: 'create-adapter',
      path: '/customer-0/desk/adapter-9',
      value: {settings: {}, versions: {}},
    },
  ]);
  expect(findCustomer(after, 'adapter-9')).to.equal('customer-0');
});
