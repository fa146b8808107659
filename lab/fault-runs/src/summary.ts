import type {AnsweredCall, History} from '@marigoldspur/history';

/** How the calls of a run ended, in numbers. */
export interface Summary {
  readonly [name: string]: string | number;
  readonly calls: number;
  readonly answered: number;
  /** Refusals that say "not run". */
  readonly notRun: number;
  /** Refusals that say "unknown" or "failed", and answers that broke off. */
  readonly unknown: number;
  /** Connections that ended without an answer. */
  readonly none: number;
  /** 99th percentile of the time to a refusal, in milliseconds. */
  readonly refusalP99Ms: number;
  /** 99th percentile of the time to a whole answer, in milliseconds. */
  readonly answerP99Ms: number;
  /** Attempts at targets for each call. */
  readonly attemptsPerCall: number;
  /** The most attempts in one second as a multiple of the mean calls in one. */
  readonly peak: number;
  /** The most attempts at targets in one second after the first fault was undone, to steady load. */
  readonly returnPeak: number;
  /** The same for what targets began to run, by their own records. */
  readonly returnRunPeak: number;
}

/** Sums up a history. */
export function summarise(history: History): Summary {
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
    refusalP99Ms: p99(refused),
    answerP99Ms: p99(answered),
    attemptsPerCall: round((calls.length + retries) / calls.length),
    peak: peak(history),
    returnPeak: returnPeak(history, history.of('attempt')),
    returnRunPeak: returnPeak(history, history.of('run')),
  };
}

/** The most of `what` in one second after a fault was undone, as a multiple of the calls in one before any fault. */
function returnPeak(history: History, what: ReadonlyArray<{at: number}>) {
  const faults = history.of('fault');
  const undone = faults.find(({state}) => state === 'undone');
  if (undone === undefined) {
    return 0;
  }
  const perSecond = new Map<number, number>();
  for (const {at} of what.filter(each => each.at >= undone.at)) {
    const second = Math.floor((at - undone.at) / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
  }
  const peak = Math.max(0, ...perSecond.values());
  return round(peak / steadyCallsPerSecond(history, faults[0].at));
}

/** Calls a second before any caller had to come again. */
function steadyCallsPerSecond(history: History, until: number): number {
  const calls = history.of('call').map(call => call.at);
  const steady = calls.filter(at => at < until);
  return steady.length / ((until - calls[0]) / 1_000);
}

function callsPerSecond(history: History): number {
  const calls = history.of('call').map(call => call.at);
  return calls.length / ((calls.at(-1)! - calls[0]) / 1_000);
}

function peak(history: History): number {
  const attempts = [...history.of('call'), ...history.of('retry')];
  const perSecond = new Map<number, number>();
  for (const {at} of attempts) {
    const second = Math.floor(at / 1_000);
    perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
  }
  return round(Math.max(...perSecond.values()) / callsPerSecond(history));
}

function round(value: number): number {
  return Number(value.toFixed(3));
}

function isAnswered({answer}: AnsweredCall): boolean {
  return answer.ended === 'whole' && (answer.status ?? 0) < 300;
}

function p99(calls: readonly AnsweredCall[]): number {
  const times = calls.map(({answer}) => answer.tookMs).sort((a, b) => a - b);
  return times[Math.ceil(times.length * 0.99) - 1] ?? 0;
}
