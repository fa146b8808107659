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
const GOOD: HistoryLine[] = [
  {...PROCESS, state: 'started'},
  {...IN_FORCE, revision: 1, at: 0},
  CALL,
  RUN,
  ANSWER,
  ACCEPTED,
  {...IN_FORCE, revision: 2},
  {line: 'end', at: 9_000},
];

function rulesBroken(lines: readonly HistoryLine[]): string[] {
  const violations = checkHistory(new History(lines));
  return [...new Set(violations.map(violation => violation.rule))];
}

it('history: a good history breaks no rule', () => {
  expect(rulesBroken(GOOD)).to.deep.equal([]);
});

it('history: JSON lines read back to the same history', () => {
  const parsed = parseHistory(formatHistory(new History(GOOD)));
  expect(parsed.isOk && parsed.value.lines).to.deep.equal(
    JSON.parse(JSON.stringify(GOOD)),
  );
});

it('history: a malformed line is a finding with its place', () => {
  const parsed = parseHistory('{"line":"end","at":1}\n{"line":"what"}\n');
  expect(parsed.isErr && parsed.error[0].place).to.match(/^line 2/);
});

it('history: a run on another version fires', () => {
  const run = {...RUN, model: 'recap@v2'};
  expect(rulesBroken([CALL, run, ANSWER])).to.deep.equal(['exact-version']);
});

it('history: an answer that names another version fires', () => {
  const answer = {...ANSWER, model: 'recap@v2'};
  expect(rulesBroken([CALL, RUN, answer])).to.deep.equal(['exact-version']);
});

it('history: a short answer that ends as if complete fires', () => {
  const answer = {...ANSWER, text: 'recap@v1'};
  expect(rulesBroken([CALL, RUN, answer])).to.deep.equal(['whole-answer']);
});

it('history: a torn answer that is seen as torn does not fire', () => {
  const answer = {...ANSWER, ended: 'torn' as const, text: 'recap@v1'};
  expect(rulesBroken([CALL, RUN, answer])).to.deep.equal([]);
});

it('history: an answer to another request fires', () => {
  const run = {...RUN, operation: 'op-2'};
  expect(rulesBroken([CALL, run, ANSWER])).to.deep.equal(['own-answer']);
});

it('history: an answer whose run may be missing from a lost record does not fire', () => {
  const lost = {
    line: 'record-lost',
    target: 'lm-desk-0',
    from: 5,
    to: 9,
  } as const;
  expect(rulesBroken([CALL, ANSWER])).to.deep.equal(['own-answer']);
  expect(rulesBroken([CALL, ANSWER, lost])).to.deep.equal([]);
});

it('history: "not run" of what ran fires', () => {
  expect(rulesBroken([CALL, RUN, REFUSED])).to.deep.equal(['not-run']);
  expect(rulesBroken([CALL, REFUSED])).to.deep.equal([]);
});

it('history: a second run of what may not be repeated fires', () => {
  const call = {...CALL, repeatable: false};
  const second = {...RUN, request: 'request-2', target: 'lm-desk-1'};
  expect(rulesBroken([call, RUN, second, ANSWER])).to.deep.equal([
    'at-most-once',
  ]);
  expect(rulesBroken([CALL, RUN, second, ANSWER])).to.deep.equal([]);
});

it('history: a refusal without outcome or Retry-After fires', () => {
  const untyped = {...REFUSED, outcome: undefined};
  expect(rulesBroken([CALL, untyped])).to.deep.equal(['typed-refusal']);
  const never = {...REFUSED, retryAfterSeconds: undefined};
  expect(rulesBroken([CALL, never])).to.deep.equal(['typed-refusal']);
});

it('history: an eviction of an adapter in use fires', () => {
  const order = {
    line: 'order',
    target: 'lm-desk-0',
    at: 15,
    order: 'unload',
    model: 'recap@v1',
    evictedInUse: true,
  } as const;
  expect(rulesBroken([...GOOD, order])).to.deep.equal(['no-eviction-in-use']);
});

it('history: work given to a target after it left fires', () => {
  const leaving = {line: 'leaving', target: 'lm-desk-0', at: 0} as const;
  const late = {...RUN, at: 3_001};
  expect(rulesBroken([leaving, CALL, late, ANSWER])).to.deep.equal([
    'leaving-left-alone',
  ]);
  expect(rulesBroken([leaving, CALL, RUN, ANSWER])).to.deep.equal([]);
});

it('history: a revision that falls fires', () => {
  const fallen = {...IN_FORCE, revision: 1, at: 2_000};
  expect(rulesBroken([...GOOD, fallen])).to.deep.equal(['never-reverts']);
});

it('history: a revision that is late in a running process fires', () => {
  const late = GOOD.filter(
    line => line.line !== 'in-force' || line.revision !== 2,
  );
  expect(rulesBroken(late)).to.deep.equal(['in-force-everywhere']);
  const frozen = {...PROCESS, state: 'frozen', at: 2_000} as const;
  expect(rulesBroken([...late, frozen])).to.deep.equal([]);
});

it('history: every rule is shown to fire by a test above', () => {
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

it('history: a process that is cut off is not late until it is mended', () => {
  const late = GOOD.filter(
    line => line.line !== 'in-force' || line.revision !== 2,
  );
  const cut = {...PROCESS, state: 'cut', at: 2_000} as const;
  const thawed = {...PROCESS, state: 'thawed', at: 2_001} as const;
  const early = {...PROCESS, state: 'cut', at: 500} as const;
  const mended = {...PROCESS, state: 'mended', at: 600} as const;
  expect(rulesBroken([...late, cut])).to.deep.equal([]);
  expect(rulesBroken([...late, cut, thawed])).to.deep.equal([]);
  expect(rulesBroken([...late, early, mended])).to.deep.equal([
    'in-force-everywhere',
  ]);
});
