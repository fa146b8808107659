import {expect} from 'chai';
import {RefusalReporter} from '@marigoldspur/entry-quotas';
import type {EventLog} from '@marigoldspur/event-log';

// Guards against names that are cut at their first space.
it('refusal reporter: both events name the whole tenant, and spells of causes are apart', () => {
  const recorded: unknown[] = [];
  const events = {
    record: (...event: unknown[]) => recorded.push(event),
  } as unknown as EventLog;
  const reporter = new RefusalReporter(events);
  const tenant = 'ann and  sons';
  const details = {amount: 5, waitMs: 70};
  reporter.record(tenant, 'exceeded', details, 0);
  reporter.record(tenant, 'exceeded', details, 10);
  reporter.record(tenant, 'unavailable', details, 20);
  reporter.endSpells(20_000);
  reporter.stop();
  expect(recorded).to.deep.equal([
    ['quota-refusals-began', {tenant, cause: 'exceeded', ...details}],
    ['quota-refusals-began', {tenant, cause: 'unavailable', ...details}],
    ['quota-refusals-ended', {tenant, cause: 'exceeded', refused: 2}],
    ['quota-refusals-ended', {tenant, cause: 'unavailable', refused: 1}],
  ]);
});
