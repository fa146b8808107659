import type {IncomingHttpHeaders} from 'node:http';
import type {CallAccess} from '@marigoldspur/caller-tenants';
import type {Route, Service} from '@marigoldspur/deployment';
import type {Refusal} from '@marigoldspur/faults';
import type {Reservation} from '@marigoldspur/memory-budget';
import type {RequestBody} from '@marigoldspur/request-bodies';
import type {RouteTable} from '@marigoldspur/routes';
import type {TenantProfile} from '@marigoldspur/tenant-access';
import type {CallMetadata} from './wire-format.js';

/** One call that is being served. */
export interface Call {
  readonly metadata: CallMetadata;
  /** When it arrived at the earliest, as a `performance.now()` time. */
  readonly startedAt: number;
  readonly route: Route;
  readonly service: Service;
  /** Tenant of the call when it arrived; absent if it had none. */
  readonly tenant?: TenantProfile;
  /** What the caller's key permits by the newest deployment; absent if keys do not matter. */
  readonly access?: CallAccess;
  /** The routes by which the call was resolved; they order calls by urgency. */
  readonly routes?: Pick<RouteTable, 'priorityOf'>;
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: RequestBody;
  /** Memory that the call holds for its response; not limited if absent. */
  readonly responseMemory?: Reservation;
  /** Returns what identifies the request when it is sent again; computed at the first call. */
  readonly fingerprint: () => string;
  /** Aborts at the route's timeout and when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether the caller has disconnected. */
  readonly hasCallerDisconnected: () => boolean;
}

/** Time until the call's deadline at time `now`, in milliseconds. */
export function remainingMs(call: Call, now: number): number {
  const {metadata, route, startedAt} = call;
  const limitMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? Infinity);
  return limitMs - (now - startedAt);
}

/**
 * Time until a caller that has waited for an event since `waitingSince` gives
 * up, in milliseconds.
 */
export function remainingPatienceMs(
  call: Call,
  waitingSince: number,
  now: number,
): number {
  const patience = (call.route.patienceMs ?? Infinity) - (now - waitingSince);
  return Math.min(remainingMs(call, now), patience);
}

/** Minimum remaining time in which a target can respond, in milliseconds. */
export const MIN_REMAINING_MS = 20;

/** Whether a target could still respond to a call at time `now`. */
export function hasTimeLeft(call: Call, now: number): boolean {
  return !call.signal.aborted && remainingMs(call, now) >= MIN_REMAINING_MS;
}

/** Why a call must not be sent any more; undefined if it may be. Holds only until the next wait. */
export function findDenial(call: Call): Refusal | undefined {
  return call.access?.findRefusal();
}

/** Tenant that a call counts for by the newest deployment. */
export function findTenant({access, tenant}: Call): TenantProfile | undefined {
  return access?.tenant ?? tenant;
}

/** Priority of a call by its route and the tenant that its key has now; 0 is the most urgent. */
export function priorityOf({access, route, routes, tenant}: Call): number {
  const current = access === undefined ? tenant : access.tenant;
  return (
    routes?.priorityOf(route, current) ?? current?.priority ?? route.priority
  );
}
