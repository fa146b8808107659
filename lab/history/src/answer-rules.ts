import type {Finding} from '@marigoldspur/faults';
import type {AnsweredCall, History} from './history.js';
import type {Rule} from './rule.js';

const OUTCOMES = new Set(['not-run', 'unknown', 'failed']);

/** Every request runs on exactly the adapter and version its caller named. */
export const EXACT_VERSION: Rule = {
  name: 'exact-version',
  promise:
    'Every request runs on exactly the adapter and version its caller named.',
  check(history) {
    const calls = new Map(
      history.of('call').map(call => [call.operation, call]),
    );
    const runs = history.of('run').flatMap(run => {
      const call = calls.get(run.operation);
      return call === undefined || call.model === run.model
        ? []
        : [{place: run.operation, reason: `ran on ${run.model}`}];
    });
    const answers = history.answeredCalls().flatMap(({call, answer}) =>
      answer.model === undefined || answer.model === call.model
        ? []
        : [
            {
              place: placeOf({call, answer}),
              reason: `answered by ${answer.model}`,
            },
          ],
    );
    return [...runs, ...answers];
  },
};

/** Each caller receives the whole answer; a torn one never ends as if complete. */
export const WHOLE_ANSWER: Rule = {
  name: 'whole-answer',
  promise:
    'Each caller receives the whole answer to its own request and no one else’s.',
  check: history =>
    succeeded(history)
      .filter(({call, answer}) => answer.text !== call.expected)
      .map(each => ({
        place: placeOf(each),
        reason: `the answer is ${JSON.stringify(each.answer.text)}`,
      })),
};

/** The answer that a caller receives comes from a run of its own request. */
export const OWN_ANSWER: Rule = {
  name: 'own-answer',
  promise:
    'Each caller receives the whole answer to its own request and no one else’s.',
  check(history) {
    const runs = history.runsByOperation();
    return succeeded(history)
      .filter(({call, answer}) => {
        const own = runs.get(call.operation) ?? [];
        const ran = own.some(
          run => answer.replayed || run.request === answer.request,
        );
        return !ran && !mayBeLost(history, {call, answer});
      })
      .map(each => ({
        place: placeOf(each),
        reason: 'no target ran this request',
      }));
  },
};

/** A refusal saying "not run" means the request did not run. */
export const NOT_RUN: Rule = {
  name: 'not-run',
  promise: 'A refusal saying "not run" means the request did not run.',
  check(history) {
    const requests = new Set(history.of('run').map(run => run.request));
    return history
      .answeredCalls()
      .filter(
        ({answer}) =>
          answer.outcome === 'not-run' && requests.has(answer.request ?? ''),
      )
      .map(each => ({place: placeOf(each), reason: 'the request ran'}));
  },
};

/** What may not be repeated runs at most once. */
export const AT_MOST_ONCE: Rule = {
  name: 'at-most-once',
  promise: 'A request that may not be repeated runs at most once.',
  check(history) {
    const once = new Set(
      history
        .of('call')
        .filter(call => !call.repeatable)
        .map(call => call.operation),
    );
    return [...history.runsByOperation()]
      .filter(([operation, runs]) => once.has(operation) && runs.length > 1)
      .map(([operation, runs]) => ({
        place: operation,
        reason: `ran ${runs.length} times`,
      }));
  },
};

/** Every caller gets one complete answer or an honest refusal that says when to come back. */
export const TYPED_REFUSAL: Rule = {
  name: 'typed-refusal',
  promise: 'Every caller gets one complete answer or an honest refusal.',
  check(history) {
    const runs = history.runsByOperation();
    return history.answeredCalls().flatMap(each => {
      const {answer, call} = each;
      if (answer.ended !== 'whole' || (answer.status ?? 0) < 400) {
        return [];
      }
      const failedInTarget = (runs.get(call.operation) ?? []).some(
        run => run.end === 'failed',
      );
      return failedInTarget && answer.outcome === undefined
        ? []
        : refusalFindings(each);
    });
  },
};

/** The rules on what callers asked and got. */
export const ANSWER_RULES = [
  EXACT_VERSION,
  WHOLE_ANSWER,
  OWN_ANSWER,
  NOT_RUN,
  AT_MOST_ONCE,
  TYPED_REFUSAL,
];

function refusalFindings(each: AnsweredCall): Finding[] {
  const {outcome, status, retryAfterSeconds} = each.answer;
  const place = placeOf(each);
  const findings: Finding[] = [];
  if (!OUTCOMES.has(outcome ?? '')) {
    findings.push({place, reason: `the refusal ${status} has no outcome`});
  }
  const passes = (status ?? 0) >= 500 || status === 429;
  if (passes && !((retryAfterSeconds ?? 0) >= 1)) {
    findings.push({place, reason: 'the refusal has no Retry-After'});
  }
  return findings;
}

/** Whether a run of the call may be missing from a target's record. */
function mayBeLost(history: History, {call, answer}: AnsweredCall): boolean {
  return history
    .of('record-lost')
    .some(({from, to}) => call.at <= to && answer.at >= from);
}

function succeeded(history: History): AnsweredCall[] {
  return history
    .answeredCalls()
    .filter(
      ({answer}) => answer.ended === 'whole' && (answer.status ?? 0) < 300,
    );
}

function placeOf({call}: AnsweredCall): string {
  return `call ${call.call}, ${call.operation}`;
}
