import type {AnsweredCall, History} from '@marigoldspur/history';

/** Figures on how the calls of a run ended. */
export interface Summary {
  readonly [name: string]: string | number;
  readonly calls: number;
  /** Calls with a complete answer and a status below 300. */
  readonly answered: number;
  /** Refusals with the outcome `not-run`. */
  readonly notRun: number;
  /** Refusals with the outcome `unknown` or `failed`, and truncated answers. */
  readonly unknown: number;
  /** Calls without an answer: the connection failed or closed before the headers, or the call timed out. */
  readonly none: number;
  /** 99th percentile of the time to a refusal, in milliseconds. */
  readonly refusalP99Ms: number;
  /** 99th percentile of the time to a whole answer, in milliseconds. */
  readonly answerP99Ms: number;
  /** Mean number of attempts per call, retries included. */
  readonly attemptsPerCall: number;
  /** Highest number of attempts in any second, divided by the mean number of calls per second. */
  readonly peak: number;
  /** Highest number of attempts at targets in any second after the first fault was undone, divided by the calls per second before any fault. */
  readonly returnPeak: number;
  /** Like `returnPeak`, but counts the runs that targets started, according to their records. */
  readonly returnRunPeak: number;
}

/** Summarizes a history. */
export function summarize(history: History): Summary {
  const calls = history.answeredCalls();
  const answered = calls.filter(isAnswered);
  const refused = calls.filter(({answer}) => answer.outcome !== undefined);
  const notRun = refused.filter(({answer}) => answer.outcome === 'not-run');
  const none = calls.filter(({answer}) => answer.ended === 'none');
  const retries = history.of('retry').length;
  return {
    calls: calls.length,
    answered: answered.length,
    notRun: notRun.length,
    unknown: calls.length - answered.length - notRun.length - none.length,
    none: none.length,
    refusalP99Ms: computeP99Ms(refused),
    answerP99Ms: computeP99Ms(answered),
    attemptsPerCall: roundToThousandths(
      (calls.length + retries) / calls.length,
    ),
    peak: computePeakAttemptRate(history),
    returnPeak: computePeakAfterFault(history, history.of('attempt')),
    returnRunPeak: computePeakAfterFault(history, history.of('run')),
  };
}

/** Highest number of lines in any second after the first fault was undone, divided by the calls per second before any fault. */
function computePeakAfterFault(
  history: History,
  lines: ReadonlyArray<{at: number}>,
) {
  const faults = history.of('fault');
  const undone = faults.find(({state}) => state === 'undone');
  if (undone === undefined) {
    return 0;
  }
  const perSecond = new Map<number, number>();
  for (const {at} of lines.filter(each => each.at >= undone.at)) {
    const second = Math.floor((at - undone.at) / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
  }
  const highest = Math.max(0, ...perSecond.values());
  return roundToThousandths(
    highest / computeSteadyCallsPerSecond(history, faults[0].at),
  );
}

/** Computes the calls per second before the first fault, when no caller has to retry yet. */
function computeSteadyCallsPerSecond(
  history: History,
  firstFaultAt: number,
): number {
  const calls = history.of('call').map(call => call.at);
  const steady = calls.filter(at => at < firstFaultAt);
  return steady.length / ((firstFaultAt - calls[0]) / 1_000);
}

function computeCallsPerSecond(history: History): number {
  const calls = history.of('call').map(call => call.at);
  return calls.length / ((calls.at(-1)! - calls[0]) / 1_000);
}

function computePeakAttemptRate(history: History): number {
  const attempts = [...history.of('call'), ...history.of('retry')];
  const perSecond = new Map<number, number>();
  for (const {at} of attempts) {
    const second = Math.floor(at / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
  }
  return roundToThousandths(
    Math.max(...perSecond.values()) / computeCallsPerSecond(history),
  );
}

function roundToThousandths(value: number): number {
  return Number(value.toFixed(3));
}

function isAnswered({answer}: AnsweredCall): boolean {
  return answer.ended === 'whole' && (answer.status ?? 0) < 300;
}

function computeP99Ms(calls: readonly AnsweredCall[]): number {
  const times = calls.map(({answer}) => answer.tookMs).sort((a, b) => a - b);
  return times[Math.ceil(times.length * 0.99) - 1] ?? 0;
}
