import {expect} from 'chai';
import {History, type HistoryLine} from '@marigoldspur/history';
import {summarize} from '../src/summary.js';

const CALLS_PER_SECOND = 10;
const FAULT_AT_MS = 2_000;
const UNDONE_AT_MS = 4_000;
const END_AT_MS = 8_000;

/** Calls at a steady rate with one attempt each, and a fault from 2 s to 4 s. */
function createSteadyRun(): HistoryLine[] {
  const lines: HistoryLine[] = [];
  for (let at = 0; at < END_AT_MS; at += 1_000 / CALLS_PER_SECOND) {
    lines.push(...createCallAt(at, lines.length));
  }
  const fault = {line: 'fault', kind: 'cut-zone'} as const;
  return [
    ...lines,
    {...fault, state: 'begun', at: FAULT_AT_MS},
    {...fault, state: 'undone', at: UNDONE_AT_MS},
  ];
}

function createCallAt(at: number, call: number): HistoryLine[] {
  const operation = `op-${call}`;
  const request = `request-${call}`;
  const expected = '';
  return [
    {line: 'call', call, at, operation, model: 'm', repeatable: true, expected},
    {line: 'attempt', request, attempt: 1, target: 'lm-desk-0', at},
  ];
}

it('summary: the return peak divides the attempts after a fault by the call rate before it', () => {
  const steady = summarize(new History(createSteadyRun()));
  expect(steady.returnPeak).to.equal(1);
  const retries = Array.from({length: CALLS_PER_SECOND / 2}, (_, index) =>
    createCallAt(UNDONE_AT_MS + 1_500, 1_000 + index),
  );
  const surge = summarize(
    new History([...createSteadyRun(), ...retries.flat()]),
  );
  expect(surge.returnPeak).to.equal(1.5);
});

it('summary: the return peak of a run without faults is 0', () => {
  const calls = createSteadyRun().filter(({line}) => line !== 'fault');
  expect(summarize(new History(calls)).returnPeak).to.equal(0);
});
