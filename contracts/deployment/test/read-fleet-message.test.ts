import {expect} from 'chai';
import {FLEET_MESSAGE_SCHEMA, readFleetMessage} from '@marigoldspur/deployment';

const TARGET = {
  id: 'i-1',
  bornAt: 0,
  sequence: 1,
  service: 'desk',
  address: '10.0.0.9:8080',
  zone: 'a',
  slots: 8,
  leaving: false,
  softwareVersion: 'v1',
  models: [],
};

// Guards against entries that never learn of any target because one of them is invalid.
it('fleet message: a target that cannot be used is left out and the others stay', () => {
  const {findings, message} = readFleetMessage({
    whole: true,
    targets: [
      TARGET,
      {...TARGET, id: 'i\u0001'},
      {...TARGET, id: 'i-2', address: '999.0.0.1:1'},
      {...TARGET, id: 'i-3'},
    ],
  });
  expect(message.whole).to.equal(true);
  expect(message.targets?.map(({id}) => id)).to.deep.equal(['i-1', 'i-3']);
  expect(findings.map(({place}) => place)).to.deep.equal([
    'targets.1.id',
    'targets.2.address',
  ]);
});

it('fleet message: anything else that is invalid throws', () => {
  expect(() => readFleetMessage({replicas: ['no URL']})).to.throw();
  expect(() => readFleetMessage({entries: -1})).to.throw();
});

// Guards against a schema that is built, and its parser compiled, for each message.
it('fleet message: reading a message builds no schema', () => {
  const {omit} = FLEET_MESSAGE_SCHEMA;
  FLEET_MESSAGE_SCHEMA.omit = () => {
    throw new Error('a schema is built');
  };
  try {
    const {message} = readFleetMessage({entries: 3});
    expect(message).to.deep.equal({entries: 3});
  } finally {
    FLEET_MESSAGE_SCHEMA.omit = omit;
  }
});
