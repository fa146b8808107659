import {expect} from 'chai';
import {ConfirmationTimes, MemberTable} from '@marigoldspur/membership';
import type {Member} from '@marigoldspur/messages';

const LEASE_MS = 3_000;
const MORE_THAN_TRACKED = 20_001;

function agent(fence: number): Member {
  return {
    id: `agent-${fence}`,
    role: 'agent',
    zone: 'lima-a',
    boot: `boot-${fence}`,
    url: 'http://127.0.0.1:1',
    revision: 1,
    leaving: false,
    target: {
      name: 'lm-desk-0',
      customer: 'callao',
      service: 'lm-desk',
      boot: 'engine',
      healthy: true,
      slots: 1,
      batchLimit: 8,
      fence,
    },
  };
}

it('confirmation times: an accepted heartbeat counts, a fenced or rejected one does not', () => {
  const table = new MemberTable({table: 't', leaseMs: LEASE_MS});
  table.announce(agent(1), 100);
  table.renew('agent-1', {relay: 'none', at: 200, end: 3_200}, 1);
  expect(table.confirmations.lastConfirmedAt('lm-desk-0')).to.equal(100);
  table.announce(agent(1), 300, 1, {relay: 'entry', at: 300, end: 3_300});
  table.renew('agent-1', {relay: 'entry', at: 700, end: 3_700}, 1);
  expect(table.announce(agent(1), 900, 2).isFenced).to.equal(true);
  table.expire(60_000);
  expect(table.confirmations.lastConfirmedAt('lm-desk-0')).to.equal(700);
});

it('confirmation times: in a new table, targets count as confirmed until it is complete', () => {
  const options = {table: 't', leaseMs: LEASE_MS, completeAt: 4_000};
  const table = new MemberTable(options);
  expect(table.confirmations.lastConfirmedAt('lm-desk-0')).to.equal(4_000);
});

it('confirmation times: a dropped target counts as confirmed at the latest time of any dropped target', () => {
  const times = new ConfirmationTimes(-Infinity);
  for (let index = 0; index < MORE_THAN_TRACKED; index += 1) {
    times.record(`target-${index}`, index);
  }
  expect(times.lastConfirmedAt('target-0')).to.equal(0);
  expect(times.lastConfirmedAt('never seen')).to.equal(0);
  expect(times.lastConfirmedAt('target-20000')).to.equal(20_000);
});
