import {expect} from 'chai';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {ControlContact} from '../src/control-contact.js';
import {isolationRefusal} from '../src/isolation.js';

const SETTINGS = {...DEFAULT_SETTINGS, isolationBoundMs: 1_000};
const ONCE = {key: undefined, settings: {...SETTINGS, repeatable: false}};

it('isolation: what may not be repeated is refused past the bound', () => {
  expect(isolationRefusal(ONCE, 0, 1_000)).to.equal(undefined);
  expect(isolationRefusal(ONCE, 0, 1_001)).to.include({
    outcome: 'not-run',
    reason: 'isolated',
  });
});

it('isolation: what may be repeated follows the setting', () => {
  const serve = {key: undefined, settings: SETTINGS};
  expect(isolationRefusal(serve, 0, 5_000)).to.equal(undefined);
  const refuse = {...SETTINGS, whileIsolated: 'refuse' as const};
  expect(
    isolationRefusal({key: undefined, settings: refuse}, 0, 5_000)?.reason,
  ).to.equal('isolated');
});

it('isolation: a heartbeat that names a later revision confirms nothing', () => {
  const follower = {
    settings: {revision: 4, tree: {settings: {}, customers: {}}},
    lastConfirmed: 10,
  };
  const contact = new ControlContact(follower);
  contact.heard(5, 50);
  expect(contact.lastConfirmed).to.equal(10);
  contact.heard(4, 60);
  expect(contact.lastConfirmed).to.equal(60);
});
