import {expect} from 'chai';
import type {Event} from '@marigoldspur/event-catalogue';
import {EventLog} from '@marigoldspur/event-log';

const LONG_TEXT = 'x'.repeat(100_000);

it('bounded events: long texts from outside are cut, in the log and in its sinks', () => {
  const written: Event[] = [];
  const events = new EventLog({
    process: 'p',
    sinks: [{write: event => written.push(event)}],
  });
  events.record('call-refused', {message: LONG_TEXT, status: 503}, LONG_TEXT);
  for (const event of [...written, ...events.eventsAfter(0, 10)]) {
    expect(event.request?.length).to.be.at.most(5_000);
    expect(String(event.details['message']).length).to.be.at.most(5_000);
    expect(event.details['message']).to.contain('(100000 characters)');
    expect(event.details['status']).to.equal(503);
  }
});

it('bounded events: the oldest events are dropped once all take more than the maximum', () => {
  const events = new EventLog({process: 'p', maxBytes: 100_000});
  for (let index = 0; index < 200; index += 1) {
    events.record('call-refused', {message: 'x'.repeat(4_000), index});
  }
  const kept = events.eventsAfter(0, 1_000);
  expect(kept.length).to.be.within(5, 12);
  expect(kept.at(-1)?.details['index']).to.equal(199);
  expect(kept.map(({sequence}) => sequence)).to.deep.equal(
    kept.map((_, position) => 200 - kept.length + 1 + position),
  );
});

it('bounded events: no more events are kept than the capacity', () => {
  const events = new EventLog({process: 'p', capacity: 3});
  for (let index = 0; index < 7; index += 1) {
    events.record('process-started', {index});
  }
  const kept = events.eventsAfter(0, 10).map(({details}) => details['index']);
  expect(kept).to.deep.equal([4, 5, 6]);
});

it('bounded events: 8,192 events with the longest texts take less heap than 60 MB', () => {
  const events = new EventLog({process: 'p'});
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < 8_192; index += 1) {
    const id = `${index}-${'x'.repeat(14_000)}`;
    events.record('call-refused', {message: id}, id);
  }
  expect(events.eventsAfter(0, 10_000).length).to.be.greaterThan(100);
  expect(process.memoryUsage().heapUsed - before).to.be.below(60_000_000);
});
