import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import {Fault, toFault} from '@marigoldspur/faults';
import {
  CLAIM_SCHEMA,
  COMPLETION_SCHEMA,
  MEMBER_SCHEMA,
  PERMIT_REQUEST_SCHEMA,
} from '@marigoldspur/messages';
import {CHANGE_SCHEMA} from '@marigoldspur/settings-schema';
import type {ControlService} from './service.js';

const MAX_WAIT_MS = 60_000;
const MAX_HISTORY = 1_000;
const waitSchema = z.int().min(0).max(MAX_WAIT_MS);

const trpc = initTRPC.context<object>().create({
  errorFormatter: ({shape, error}) => ({
    ...shape,
    data: {
      ...shape.data,
      fault: error.cause instanceof Fault ? error.cause.code : undefined,
    },
  }),
});

/** Serves a control service over tRPC. */
export function controlRouter(service: ControlService) {
  const procedure = trpc.procedure;
  return trpc.router({
    readSettings: procedure
      .input(z.object({fresh: z.boolean()}))
      .query(({input}) => answer(() => service.readSettings(input.fresh))),
    watchSettings: procedure
      .input(z.object({revision: z.int().min(0), waitMs: waitSchema}))
      .query(({input}) =>
        answer(() => service.watchSettings(input.revision, input.waitMs)),
      ),
    changeSettings: procedure
      .input(CHANGE_SCHEMA)
      .mutation(({input}) => answer(() => service.changeSettings(input))),
    settingsHistory: procedure
      .input(z.object({limit: z.int().min(1).max(MAX_HISTORY)}))
      .query(({input}) => answer(() => service.settingsHistory(input.limit))),
    takeClaim: procedure
      .input(CLAIM_SCHEMA)
      .mutation(({input}) => answer(() => service.takeClaim(input))),
    completeClaim: procedure
      .input(COMPLETION_SCHEMA)
      .mutation(({input}) => answer(() => service.completeClaim(input))),
    heartbeat: procedure
      .input(MEMBER_SCHEMA)
      .mutation(({input}) => answer(() => service.heartbeat(input))),
    grantFence: procedure
      .input(z.object({target: z.string(), boot: z.string()}))
      .mutation(({input}) =>
        answer(() => service.grantFence(input.target, input.boot)),
      ),
    watchMembers: procedure
      .input(
        z.object({
          table: z.string(),
          version: z.int().min(0),
          waitMs: waitSchema,
        }),
      )
      .query(({input}) =>
        answer(() =>
          service.watchMembers(input.table, input.version, input.waitMs),
        ),
      ),
    acquirePermit: procedure
      .input(PERMIT_REQUEST_SCHEMA)
      .mutation(({input}) => answer(() => service.acquirePermit(input))),
    releasePermit: procedure
      .input(z.object({permit: z.string(), loaded: z.boolean()}))
      .mutation(({input}) =>
        answer(() => service.releasePermit(input.permit, input.loaded)),
      ),
    status: procedure.query(() => service.status()),
  });
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof controlRouter>;

async function answer<T>(call: () => Promise<T>): Promise<T> {
  try {
    return await call();
  } catch (thrown) {
    const fault = toFault(thrown);
    throw new TRPCError({
      code: 'INTERNAL_SERVER_ERROR',
      message: fault.message,
      cause: fault,
    });
  }
}
