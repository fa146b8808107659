import {expect} from 'chai';
import {History, type HistoryLine} from '@marigoldspur/history';
import {summarise} from '../src/summary.js';

const RATE = 10;
const FAULT_AT = 2_000;
const UNDONE_AT = 4_000;
const END_AT = 8_000;

/** Calls at a steady rate, each with one attempt, and a fault between them. */
function steadyRun(): HistoryLine[] {
  const lines: HistoryLine[] = [];
  for (let at = 0; at < END_AT; at += 1_000 / RATE) {
    lines.push(...callAt(at, lines.length));
  }
  const fault = {line: 'fault', kind: 'cut-zone'} as const;
  return [
    ...lines,
    {...fault, state: 'begun', at: FAULT_AT},
    {...fault, state: 'undone', at: UNDONE_AT},
  ];
}

function callAt(at: number, call: number): HistoryLine[] {
  const operation = `op-${call}`;
  const request = `request-${call}`;
  const expected = '';
  return [
    {line: 'call', call, at, operation, model: 'm', repeatable: true, expected},
    {line: 'attempt', request, attempt: 1, target: 'lm-desk-0', at},
  ];
}

it('summary: attempts after the return are counted against the load before the fault', () => {
  const steady = summarise(new History(steadyRun()));
  expect(steady.returnPeak).to.equal(1);
  const again = Array.from({length: RATE / 2}, (_, index) =>
    callAt(UNDONE_AT + 1_500, 1_000 + index),
  );
  const surge = summarise(new History([...steadyRun(), ...again.flat()]));
  expect(surge.returnPeak).to.equal(1.5);
});

it('summary: a run without a fault has no return', () => {
  const calls = steadyRun().filter(({line}) => line !== 'fault');
  expect(summarise(new History(calls)).returnPeak).to.equal(0);
});
