import {initTRPC} from '@trpc/server';
import {
  REQUESTER_IDENTITY_SCHEMA,
  type ReplicaService,
} from './replica-service.js';

const trpc = initTRPC.context<object>().create();

/** Creates a tRPC router through which other replicas query the identity of this one. */
export function createReplicaRouter(service: ReplicaService) {
  return trpc.router({
    identity: trpc.procedure
      .input(REQUESTER_IDENTITY_SCHEMA.optional())
      .query(({input}) => service.identity(input)),
  });
}

/** Type of the router, for clients. */
export type ReplicaRouter = ReturnType<typeof createReplicaRouter>;
