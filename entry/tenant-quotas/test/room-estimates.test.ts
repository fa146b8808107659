import {expect} from 'chai';
import {RoomEstimates} from '@marigoldspur/entry-quotas';

let estimates: RoomEstimates;

beforeEach(() => {
  estimates = new RoomEstimates();
});

function unitsOf(amount: number, tenant = 't') {
  return {tenant, amount};
}

it('room estimates: a shortage counts for amounts at least as large', () => {
  estimates.recordNoRoom(unitsOf(100), 80, 1_000);
  expect(estimates.noRoomMs(unitsOf(100), 1_000)).to.equal(80);
  expect(estimates.noRoomMs(unitsOf(101), 1_030)).to.equal(50);
  expect(estimates.noRoomMs(unitsOf(99), 1_000)).to.equal(undefined);
});

it('room estimates: a shortage is forgotten when there is room, after 250 ms at the latest', () => {
  estimates.recordNoRoom(unitsOf(100), 80, 1_000);
  expect(estimates.noRoomMs(unitsOf(100), 1_079)).to.equal(1);
  expect(estimates.noRoomMs(unitsOf(100), 1_080)).to.equal(undefined);
  estimates.recordNoRoom(unitsOf(100), 60_000, 2_000);
  // A Retry-After of the 250 ms left would bring callers back before there is room.
  expect(estimates.noRoomMs(unitsOf(100), 2_249)).to.equal(59_751);
  expect(estimates.noRoomMs(unitsOf(100), 2_250)).to.equal(undefined);
});

it('room estimates: a larger amount neither hides nor prolongs the shortage of a smaller one', () => {
  estimates.recordNoRoom(unitsOf(100), 100, 1_000);
  estimates.recordNoRoom(unitsOf(900), 200, 1_050);
  expect(estimates.noRoomMs(unitsOf(100), 1_099)).to.equal(1);
  expect(estimates.noRoomMs(unitsOf(100), 1_100)).to.equal(undefined);
});

it('room estimates: a shortage counts for its tenant and its replica alone', () => {
  estimates.recordNoRoom(unitsOf(100), 80, 0, 'http://a');
  expect(estimates.noRoomMs(unitsOf(100), 0, 'http://a')).to.equal(80);
  expect(estimates.noRoomMs(unitsOf(100), 0, 'http://b')).to.equal(undefined);
  expect(estimates.noRoomMs(unitsOf(100), 0)).to.equal(undefined);
  const other = unitsOf(100, 'u');
  expect(estimates.noRoomMs(other, 0, 'http://a')).to.equal(undefined);
});

it('room estimates: the oldest shortages are dropped beyond 1,024', () => {
  for (let index = 0; index <= 1_024; index += 1) {
    estimates.recordNoRoom(unitsOf(1, `t${index}`), 80, 0);
  }
  expect(estimates.noRoomMs(unitsOf(1, 't0'), 0)).to.equal(undefined);
  expect(estimates.noRoomMs(unitsOf(1, 't1'), 0)).to.equal(80);
  expect(estimates.noRoomMs(unitsOf(1, 't1024'), 0)).to.equal(80);
});
