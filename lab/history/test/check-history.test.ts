import {expect} from 'chai';
import {
  checkHistory,
  formatHistory,
  History,
  parseHistory,
  RULES,
  type Answer,
  type Call,
  type HistoryLine,
  type Run,
} from '@marigoldspur/history';

const CALL: Call = {
  line: 'call',
  call: 1,
  at: 0,
  operation: 'op-1',
  model: 'recap@v1',
  repeatable: true,
  expected: 'recap@v1 w1',
};
const RUN: Run = {
  line: 'run',
  target: 'lm-desk-0',
  request: 'request-1',
  attempt: 1,
  model: 'recap@v1',
  operation: 'op-1',
  at: 10,
  end: 'whole',
};
const ANSWER: Answer = {
  line: 'answer',
  call: 1,
  at: 20,
  tookMs: 20,
  ended: 'whole',
  status: 200,
  request: 'request-1',
  replayed: false,
  text: 'recap@v1 w1',
  model: 'recap@v1',
};
const REFUSED: Answer = {
  ...ANSWER,
  status: 503,
  outcome: 'not-run',
  reason: 'no_target',
  retryAfterSeconds: 1,
  text: '',
  model: undefined,
};
const PROCESS = {line: 'process', process: 'entry-0', at: 0} as const;
const ACCEPTED = {line: 'accepted', revision: 2, at: 1_000} as const;
const IN_FORCE = {
  line: 'in-force',
  process: 'entry-0',
  life: 0,
  at: 1_500,
} as const;
const VALID_HISTORY: HistoryLine[] = [
  {...PROCESS, state: 'started'},
  {...IN_FORCE, revision: 1, at: 0},
  CALL,
  RUN,
  ANSWER,
  ACCEPTED,
  {...IN_FORCE, revision: 2},
  {line: 'end', at: 9_000},
];

function findBrokenRules(lines: readonly HistoryLine[]): string[] {
  const violations = checkHistory(new History(lines));
  return [...new Set(violations.map(violation => violation.rule))];
}

it('history: a valid history breaks no rule', () => {
  expect(findBrokenRules(VALID_HISTORY)).to.deep.equal([]);
});

it('history: a history is the same after formatting and parsing', () => {
  const parsed = parseHistory(formatHistory(new History(VALID_HISTORY)));
  expect(parsed.isOk && parsed.value.lines).to.deep.equal(
    JSON.parse(JSON.stringify(VALID_HISTORY)),
  );
});

it('history: a malformed line is reported with its line number', () => {
  const parsed = parseHistory('{"line":"end","at":1}\n{"line":"what"}\n');
  expect(parsed.isErr && parsed.error[0].place).to.match(/^line 2/);
});

it('history: a run on another version breaks exact-version', () => {
  const run = {...RUN, model: 'recap@v2'};
  expect(findBrokenRules([CALL, run, ANSWER])).to.deep.equal(['exact-version']);
});

it('history: an answer that names another version breaks exact-version', () => {
  const answer = {...ANSWER, model: 'recap@v2'};
  expect(findBrokenRules([CALL, RUN, answer])).to.deep.equal(['exact-version']);
});

it('history: a truncated answer that ends as complete breaks whole-answer', () => {
  const answer = {...ANSWER, text: 'recap@v1'};
  expect(findBrokenRules([CALL, RUN, answer])).to.deep.equal(['whole-answer']);
});

it('history: a truncated answer that ends as torn breaks no rule', () => {
  const answer = {...ANSWER, ended: 'torn' as const, text: 'recap@v1'};
  expect(findBrokenRules([CALL, RUN, answer])).to.deep.equal([]);
});

it('history: an answer to another request breaks own-answer', () => {
  const run = {...RUN, operation: 'op-2'};
  expect(findBrokenRules([CALL, run, ANSWER])).to.deep.equal(['own-answer']);
});

it('history: an answer whose run may be in a lost record breaks no rule', () => {
  const lost = {
    line: 'record-lost',
    target: 'lm-desk-0',
    from: 5,
    to: 9,
  } as const;
  expect(findBrokenRules([CALL, ANSWER])).to.deep.equal(['own-answer']);
  expect(findBrokenRules([CALL, ANSWER, lost])).to.deep.equal([]);
});

it('history: a "not run" refusal of a request that ran breaks not-run', () => {
  expect(findBrokenRules([CALL, RUN, REFUSED])).to.deep.equal(['not-run']);
  expect(findBrokenRules([CALL, REFUSED])).to.deep.equal([]);
});

it('history: a second run of a non-repeatable request breaks at-most-once', () => {
  const call = {...CALL, repeatable: false};
  const second = {...RUN, request: 'request-2', target: 'lm-desk-1'};
  expect(findBrokenRules([call, RUN, second, ANSWER])).to.deep.equal([
    'at-most-once',
  ]);
  expect(findBrokenRules([CALL, RUN, second, ANSWER])).to.deep.equal([]);
});

it('history: a refusal without an outcome or Retry-After breaks typed-refusal', () => {
  const untyped = {...REFUSED, outcome: undefined};
  expect(findBrokenRules([CALL, untyped])).to.deep.equal(['typed-refusal']);
  const withoutRetryAfter = {...REFUSED, retryAfterSeconds: undefined};
  expect(findBrokenRules([CALL, withoutRetryAfter])).to.deep.equal([
    'typed-refusal',
  ]);
});

it('history: an eviction of an adapter in use breaks no-eviction-in-use', () => {
  const order = {
    line: 'order',
    target: 'lm-desk-0',
    at: 15,
    order: 'unload',
    model: 'recap@v1',
    evictedInUse: true,
  } as const;
  expect(findBrokenRules([...VALID_HISTORY, order])).to.deep.equal([
    'no-eviction-in-use',
  ]);
});

it('history: a run that starts long after its target announced that it is leaving breaks leaving-left-alone', () => {
  const leaving = {line: 'leaving', target: 'lm-desk-0', at: 0} as const;
  const late = {...RUN, at: 3_001};
  expect(findBrokenRules([leaving, CALL, late, ANSWER])).to.deep.equal([
    'leaving-left-alone',
  ]);
  expect(findBrokenRules([leaving, CALL, RUN, ANSWER])).to.deep.equal([]);
});

it('history: a revision that decreases breaks never-reverts', () => {
  const decreased = {...IN_FORCE, revision: 1, at: 2_000};
  expect(findBrokenRules([...VALID_HISTORY, decreased])).to.deep.equal([
    'never-reverts',
  ]);
});

it('history: a revision that is late in a running process breaks in-force-everywhere', () => {
  const late = VALID_HISTORY.filter(
    line => line.line !== 'in-force' || line.revision !== 2,
  );
  expect(findBrokenRules(late)).to.deep.equal(['in-force-everywhere']);
  const frozen = {...PROCESS, state: 'frozen', at: 2_000} as const;
  expect(findBrokenRules([...late, frozen])).to.deep.equal([]);
});

it('history: the tests above cover every rule', () => {
  expect(RULES.map(rule => rule.name)).to.have.members([
    'exact-version',
    'whole-answer',
    'own-answer',
    'not-run',
    'at-most-once',
    'typed-refusal',
    'no-eviction-in-use',
    'leaving-left-alone',
    'never-reverts',
    'in-force-everywhere',
  ]);
});

it('history: a process that is cut off is not late until it is reachable again', () => {
  const late = VALID_HISTORY.filter(
    line => line.line !== 'in-force' || line.revision !== 2,
  );
  const cut = {...PROCESS, state: 'cut', at: 2_000} as const;
  const thawed = {...PROCESS, state: 'thawed', at: 2_001} as const;
  const early = {...PROCESS, state: 'cut', at: 500} as const;
  const mended = {...PROCESS, state: 'mended', at: 600} as const;
  expect(findBrokenRules([...late, cut])).to.deep.equal([]);
  expect(findBrokenRules([...late, cut, thawed])).to.deep.equal([]);
  expect(findBrokenRules([...late, early, mended])).to.deep.equal([
    'in-force-everywhere',
  ]);
});
