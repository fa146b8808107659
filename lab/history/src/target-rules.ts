import type {Rule} from './rule.js';

/** Time after which a leaving target has to be left alone. */
const LEAVING_BOUND_MS = 3_000;

/** An adapter that an in-flight request uses is never evicted. */
export const NO_EVICTION_IN_USE: Rule = {
  name: 'no-eviction-in-use',
  promise: 'An adapter that an in-flight request uses is never evicted.',
  check: history =>
    history
      .of('order')
      .filter(order => order.evictedInUse)
      .map(order => ({
        place: `${order.target}, ${order.at}`,
        reason: `${order.order} ${order.model} took away an adapter in use`,
      })),
};

/** A leaving target receives no new work after a few seconds. */
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
        const bound =
          (leavingAt.get(run.target) ?? Infinity) + LEAVING_BOUND_MS;
        return run.at > bound;
      })
      .map(run => ({
        place: run.target,
        reason: `${run.operation} began after the target had left`,
      }));
  },
};

/** The rules on what targets were given. */
export const TARGET_RULES = [NO_EVICTION_IN_USE, LEAVING_LEFT_ALONE];
