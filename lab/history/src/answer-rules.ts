import type {Finding} from '@marigoldspur/faults';
import type {AnsweredCall, History} from './history.js';
import type {Rule} from './rule.js';

const OUTCOMES = new Set(['not-run', 'unknown', 'failed']);

/** Checks that every request runs on the adapter and version that its caller named. */
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
              place: formatPlace({call, answer}),
              reason: `answered by ${answer.model}`,
            },
          ],
    );
    return [...runs, ...answers];
  },
};

/** Checks that an answer that ends as complete has its whole text. */
export const WHOLE_ANSWER: Rule = {
  name: 'whole-answer',
  promise:
    'Each caller receives the whole answer to its own request and no one else’s.',
  check: history =>
    findSuccessfulCalls(history)
      .filter(({call, answer}) => answer.text !== call.expected)
      .map(answeredCall => ({
        place: formatPlace(answeredCall),
        reason: `the answer is ${JSON.stringify(answeredCall.answer.text)}`,
      })),
};

/** Checks that the answer to a caller comes from a run of its own request. */
export const OWN_ANSWER: Rule = {
  name: 'own-answer',
  promise:
    'Each caller receives the whole answer to its own request and no one else’s.',
  check(history) {
    const runs = history.runsByOperation();
    return findSuccessfulCalls(history)
      .filter(({call, answer}) => {
        const ownRuns = runs.get(call.operation) ?? [];
        const hasRun = ownRuns.some(
          run => answer.replayed || run.request === answer.request,
        );
        return !hasRun && !mayBeUnrecorded(history, {call, answer});
      })
      .map(answeredCall => ({
        place: formatPlace(answeredCall),
        reason: 'no target ran this request',
      }));
  },
};

/** Checks that a request refused with the outcome `not-run` did not run. */
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
      .map(answeredCall => ({
        place: formatPlace(answeredCall),
        reason: 'the request ran',
      }));
  },
};

/** Checks that a request that may not be repeated runs at most once. */
export const AT_MOST_ONCE: Rule = {
  name: 'at-most-once',
  promise: 'A request that may not be repeated runs at most once.',
  check(history) {
    const singleRunOperations = new Set(
      history
        .of('call')
        .filter(call => !call.repeatable)
        .map(call => call.operation),
    );
    return [...history.runsByOperation()]
      .filter(
        ([operation, runs]) =>
          singleRunOperations.has(operation) && runs.length > 1,
      )
      .map(([operation, runs]) => ({
        place: operation,
        reason: `ran ${runs.length} times`,
      }));
  },
};

/** Checks that every refusal has an outcome and, if it is temporary, a Retry-After. */
export const TYPED_REFUSAL: Rule = {
  name: 'typed-refusal',
  promise: 'Every caller gets one complete answer or an honest refusal.',
  check(history) {
    const runs = history.runsByOperation();
    return history.answeredCalls().flatMap(answeredCall => {
      const {answer, call} = answeredCall;
      if (answer.ended !== 'whole' || (answer.status ?? 0) < 400) {
        return [];
      }
      // If the target itself failed, an error without an outcome is its own answer, not a refusal.
      const hasFailedRun = (runs.get(call.operation) ?? []).some(
        run => run.end === 'failed',
      );
      return hasFailedRun && answer.outcome === undefined
        ? []
        : checkRefusal(answeredCall);
    });
  },
};

/** Rules on the requests and answers of callers. */
export const ANSWER_RULES = [
  EXACT_VERSION,
  WHOLE_ANSWER,
  OWN_ANSWER,
  NOT_RUN,
  AT_MOST_ONCE,
  TYPED_REFUSAL,
];

function checkRefusal(answeredCall: AnsweredCall): Finding[] {
  const {outcome, status, retryAfterSeconds} = answeredCall.answer;
  const place = formatPlace(answeredCall);
  const findings: Finding[] = [];
  if (!OUTCOMES.has(outcome ?? '')) {
    findings.push({
      place,
      reason: `the refusal with status ${status} has no outcome`,
    });
  }
  const isTemporary = (status ?? 0) >= 500 || status === 429;
  if (isTemporary && !((retryAfterSeconds ?? 0) >= 1)) {
    findings.push({place, reason: 'the refusal has no Retry-After'});
  }
  return findings;
}

/** Whether a run of the call may be missing because a target lost its record. */
function mayBeUnrecorded(
  history: History,
  {call, answer}: AnsweredCall,
): boolean {
  return history
    .of('record-lost')
    .some(({from, to}) => call.at <= to && answer.at >= from);
}

function findSuccessfulCalls(history: History): AnsweredCall[] {
  return history
    .answeredCalls()
    .filter(
      ({answer}) => answer.ended === 'whole' && (answer.status ?? 0) < 300,
    );
}

function formatPlace({call}: AnsweredCall): string {
  return `call ${call.call}, ${call.operation}`;
}
