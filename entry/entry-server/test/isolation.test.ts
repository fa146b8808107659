import {expect} from 'chai';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {SettingsConfirmationTracker} from '../src/settings-confirmation-tracker.js';
import {refuseIfIsolated} from '../src/isolation.js';

const SETTINGS = {...DEFAULT_SETTINGS, isolationBoundMs: 1_000};
const NOT_REPEATABLE = {
  key: undefined,
  settings: {...SETTINGS, repeatable: false},
};

it('isolation: a non-repeatable request is refused beyond the bound', () => {
  expect(refuseIfIsolated(NOT_REPEATABLE, 0, 1_000)).to.equal(undefined);
  expect(refuseIfIsolated(NOT_REPEATABLE, 0, 1_001)).to.include({
    outcome: 'not-run',
    reason: 'isolated',
  });
});

it('isolation: a repeatable request follows the setting', () => {
  const serve = {key: undefined, settings: SETTINGS};
  expect(refuseIfIsolated(serve, 0, 5_000)).to.equal(undefined);
  const refuse = {...SETTINGS, whileIsolated: 'refuse' as const};
  expect(
    refuseIfIsolated({key: undefined, settings: refuse}, 0, 5_000)?.reason,
  ).to.equal('isolated');
});

it('isolation: a heartbeat that names a later revision confirms nothing', () => {
  const follower = {
    settings: {revision: 4, tree: {settings: {}, customers: {}}},
    lastConfirmedAt: 10,
  };
  const tracker = new SettingsConfirmationTracker(follower);
  tracker.recordRevision(5, 50);
  expect(tracker.lastConfirmedAt).to.equal(10);
  tracker.recordRevision(4, 60);
  expect(tracker.lastConfirmedAt).to.equal(60);
});
