import type {Rule} from './rule.js';

/** Time after which a leaving target must receive no new work. */
const LEAVING_GRACE_MS = 3_000;

/** Checks that no adapter is evicted while a request uses it. */
export const NO_EVICTION_IN_USE: Rule = {
  name: 'no-eviction-in-use',
  promise: 'An adapter that an in-flight request uses is never evicted.',
  check: history =>
    history
      .of('order')
      .filter(order => order.evictedInUse)
      .map(order => ({
        place: `${order.target}, ${order.at}`,
        reason: `${order.order} ${order.model} evicted an adapter in use`,
      })),
};

/** Checks that a leaving target receives no new work after a grace period. */
export const LEAVING_LEFT_ALONE: Rule = {
  name: 'leaving-left-alone',
  promise: 'A leaving target receives no new work after a few seconds.',
  check(history) {
    const leavingAt = new Map(
      history.of('leaving').map(({target, at}) => [target, at]),
    );
    return history
      .of('run')
      .filter(run => {
        const deadline =
          (leavingAt.get(run.target) ?? Infinity) + LEAVING_GRACE_MS;
        return run.at > deadline;
      })
      .map(run => ({
        place: run.target,
        reason: `${run.operation} started too long after the target announced that it is leaving`,
      }));
  },
};

/** Rules on the work and orders of targets. */
export const TARGET_RULES = [NO_EVICTION_IN_USE, LEAVING_LEFT_ALONE];
