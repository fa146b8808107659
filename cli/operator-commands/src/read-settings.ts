import type {Result} from 'true-myth';
import type {SettingsView} from '@marigoldspur/control-api';
import type {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';

/**
 * Reads the settings tree from any single replica of control, without a quorum. The tree
 * may be stale; this works while control has no majority.
 */
export function readStaleSettings(
  session: OperatorSession,
): Promise<Result<SettingsView, Fault>> {
  return session.control.call(
    (replica, signal) => replica.readSettings.query({fresh: false}, {signal}),
    session.getDeadline(),
  );
}

/** Reads the settings tree, confirmed by a quorum of control. */
export function readSettings(
  session: OperatorSession,
): Promise<Result<SettingsView, Fault>> {
  return session.control.call(
    (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
    session.getDeadline(),
  );
}
