import type {Finding} from '@marigoldspur/faults';
import type {History, LinesOf} from './history.js';
import type {Rule} from './rule.js';

/** Time within which an accepted revision has to be in force everywhere. */
const IN_FORCE_TIMEOUT_MS = 4_000;

/** Checks that the revision in force never decreases in one incarnation of a process. */
export const NEVER_REVERTS: Rule = {
  name: 'never-reverts',
  promise: 'An accepted configuration never reverts.',
  check(history) {
    const highestRevisions = new Map<string, number>();
    return history.of('in-force').flatMap(({process, life, revision}) => {
      const key = `${process}, incarnation ${life}`;
      const highest = highestRevisions.get(key) ?? 0;
      highestRevisions.set(key, Math.max(highest, revision));
      return revision < highest
        ? [
            {
              place: process,
              reason: `the revision decreased from ${highest} to ${revision}`,
            },
          ]
        : [];
    });
  },
};

/** Checks that an accepted revision is in force in time in every process that can be reached. */
export const IN_FORCE_EVERYWHERE: Rule = {
  name: 'in-force-everywhere',
  promise: 'An accepted configuration is in force everywhere within seconds.',
  check: history =>
    history
      .of('accepted')
      .flatMap(accepted => findLateProcesses(history, accepted)),
};

/** Rules on settings. */
export const SETTINGS_RULES = [NEVER_REVERTS, IN_FORCE_EVERYWHERE];

function findLateProcesses(
  history: History,
  {revision, at}: LinesOf<'accepted'>,
): Finding[] {
  const deadline = at + IN_FORCE_TIMEOUT_MS;
  const end = history.of('end').at(-1)?.at ?? Infinity;
  if (end < deadline) {
    return [];
  }
  const inForce = history.of('in-force');
  return [...findRunningThroughout(history, at, deadline)]
    .filter(
      process =>
        !inForce.some(
          line =>
            line.process === process &&
            line.revision >= revision &&
            line.at <= deadline,
        ),
    )
    .map(process => ({
      place: process,
      reason: `revision ${revision} was not in force in time`,
    }));
}

type ProcessState = LinesOf<'process'>['state'];

/** The impairments of a process that a change to each state ends. */
const IMPAIRMENTS_ENDED_BY: Readonly<
  Partial<Record<ProcessState, ProcessState[]>>
> = {
  started: ['stopped', 'frozen'],
  thawed: ['frozen'],
  mended: ['cut'],
};

/** Finds the processes that were running and reachable the whole time from `from` to `to`, in milliseconds since the epoch. */
function findRunningThroughout(
  history: History,
  from: number,
  to: number,
): Set<string> {
  const running = new Set<string>();
  const impairments = new Map<string, Set<ProcessState>>();
  const lines = history.of('process').filter(({at}) => at <= to);
  for (const {process, state, at} of lines) {
    const active = impairments.get(process) ?? new Set();
    impairments.set(process, active);
    const ended = IMPAIRMENTS_ENDED_BY[state];
    ended?.forEach(each => active.delete(each));
    if (ended === undefined) {
      active.add(state);
    }
    if (active.size > 0) {
      running.delete(process);
    } else if (at <= from) {
      running.add(process);
    }
  }
  return running;
}
