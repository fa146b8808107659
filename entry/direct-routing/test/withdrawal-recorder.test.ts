import {expect} from 'chai';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {WithdrawalRecorder} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';

const target = (id: string, leaving = false, bornAt = 1) =>
  ({id, bornAt, leaving}) as TargetAnnouncement;

/** Returns the withdrawals that are recorded during a series of updates. */
function withdrawalsDuring(updates: readonly TargetAnnouncement[][]) {
  const events = new EventLog({process: 'test'});
  const recorder = new WithdrawalRecorder(events);
  updates.forEach(targets => recorder.update(targets));
  return events
    .eventsAfter(0, 100)
    .map(({name, details}) => [name, details.target, details.reason]);
}

it('withdrawals: a target that starts to leave and then ends is recorded once', () => {
  const updates = [
    [target('a'), target('b')],
    [target('a', true), target('b')],
    [target('b')],
  ];
  expect(withdrawalsDuring(updates)).to.deep.equal([
    ['target-withdrawn', 'a', 'leaving'],
  ]);
});

it('withdrawals: the end of an incarnation is recorded even if its target is back', () => {
  const updates = [[target('a')], [target('a', false, 2)]];
  expect(withdrawalsDuring(updates)).to.deep.equal([
    ['target-withdrawn', 'a', 'ended'],
  ]);
});
