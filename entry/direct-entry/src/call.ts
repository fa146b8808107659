import type {IncomingHttpHeaders} from 'node:http';
import type {Route, Service} from '@marigoldspur/deployment';
import type {CallMetadata} from './wire-format.js';

/** One call that is being served. */
export interface Call {
  readonly head: CallMetadata;
  /** When its head was read, as a `performance.now()` time. */
  readonly startedAt: number;
  readonly route: Route;
  readonly service: Service;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborts at the route's timeout and once the caller is gone. */
  readonly signal: AbortSignal;
  /** Whether the caller is gone. */
  readonly callerGone: () => boolean;
}

/** Time that is left for a call at time `now`, in milliseconds. */
export function remainingMs(call: Call, now: number): number {
  const {head, route, startedAt} = call;
  const bound = Math.min(route.timeoutMs, head.deadlineMs ?? Infinity);
  return bound - (now - startedAt);
}

/** Time until a caller leaves that has waited for an event since `since`, in milliseconds. */
export function remainingPatienceMs(
  call: Call,
  since: number,
  now: number,
): number {
  const patience = (call.route.patienceMs ?? Infinity) - (now - since);
  return Math.min(remainingMs(call, now), patience);
}

/** Below this time a target can't answer any more, in milliseconds. */
export const MIN_REMAINING_MS = 20;

/** Whether a target could still answer a call at time `now`. */
export function hasTimeLeft(call: Call, now: number): boolean {
  return !call.signal.aborted && remainingMs(call, now) >= MIN_REMAINING_MS;
}
