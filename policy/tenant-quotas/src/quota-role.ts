import type {QuotaDecision} from '@marigoldspur/deployment';
import {rendezvousOrder} from '@marigoldspur/placement';

/** What a replica of control is to a tenant. */
export type QuotaRole = QuotaDecision['role'];

const ROLES: readonly QuotaRole[] = ['primary', 'stand-in'];

/** The role of the replica at `ownUrl` for a tenant, among the replicas at `urls`. */
export function quotaRole(
  tenant: string,
  urls: readonly string[],
  ownUrl: string,
): QuotaRole {
  const order = rendezvousOrder(
    tenant,
    urls.map(name => ({name})),
  );
  return ROLES[order.findIndex(({name}) => name === ownUrl)] ?? 'none';
}
