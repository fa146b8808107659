import type {Finding} from '@marigoldspur/faults';
import type {History, LinesOf} from './history.js';
import type {Rule} from './rule.js';

/** Time after which an accepted revision has to be in force everywhere. */
const IN_FORCE_BOUND_MS = 4_000;

/** An accepted configuration never reverts. */
export const NEVER_REVERTS: Rule = {
  name: 'never-reverts',
  promise: 'An accepted configuration never reverts.',
  check(history) {
    const latest = new Map<string, number>();
    return history.of('in-force').flatMap(({process, life, revision}) => {
      const lived = `${process}, life ${life}`;
      const before = latest.get(lived) ?? 0;
      latest.set(lived, Math.max(before, revision));
      return revision < before
        ? [{place: process, reason: `fell from ${before} to ${revision}`}]
        : [];
    });
  },
};

/** An accepted configuration is in force everywhere within seconds. */
export const IN_FORCE_EVERYWHERE: Rule = {
  name: 'in-force-everywhere',
  promise: 'An accepted configuration is in force everywhere within seconds.',
  check: history =>
    history
      .of('accepted')
      .flatMap(accepted => lateProcesses(history, accepted)),
};

/** The rules on settings. */
export const SETTINGS_RULES = [NEVER_REVERTS, IN_FORCE_EVERYWHERE];

function lateProcesses(
  history: History,
  {revision, at}: LinesOf<'accepted'>,
): Finding[] {
  const bound = at + IN_FORCE_BOUND_MS;
  const end = history.of('end').at(-1)?.at ?? Infinity;
  if (end < bound) {
    return [];
  }
  const inForce = history.of('in-force');
  return [...runningBetween(history, at, bound)]
    .filter(
      process =>
        !inForce.some(
          line =>
            line.process === process &&
            line.revision >= revision &&
            line.at <= bound,
        ),
    )
    .map(process => ({
      place: process,
      reason: `revision ${revision} was not in force in time`,
    }));
}

type ProcessState = LinesOf<'process'>['state'];

/** The states that each state ends. */
const ENDED_BY: Readonly<Partial<Record<ProcessState, ProcessState[]>>> = {
  started: ['stopped', 'frozen'],
  thawed: ['frozen'],
  mended: ['cut'],
};

/** Processes that ran and could be reached all the time from `from` to `to`. */
function runningBetween(
  history: History,
  from: number,
  to: number,
): Set<string> {
  const running = new Set<string>();
  const troubles = new Map<string, Set<ProcessState>>();
  const lines = history.of('process').filter(({at}) => at <= to);
  for (const {process, state, at} of lines) {
    const trouble = troubles.get(process) ?? new Set();
    troubles.set(process, trouble);
    const ended = ENDED_BY[state];
    ended?.forEach(each => trouble.delete(each));
    if (ended === undefined) {
      trouble.add(state);
    }
    if (trouble.size > 0) {
      running.delete(process);
    } else if (at <= from) {
      running.add(process);
    }
  }
  return running;
}
