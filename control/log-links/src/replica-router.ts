import {initTRPC} from '@trpc/server';
import {DELIVERY_SCHEMA, type ReplicaService} from './replica-service.js';

const trpc = initTRPC.context<object>().create();

/** Serves a replica of the log to the others over tRPC. */
export function replicaRouter(service: ReplicaService) {
  return trpc.router({
    identity: trpc.procedure.query(() => service.identity()),
    deliver: trpc.procedure
      .input(DELIVERY_SCHEMA)
      .mutation(({input}) => service.deliver(input)),
  });
}

/** Type of the router, for clients. */
export type ReplicaRouter = ReturnType<typeof replicaRouter>;
