import {initTRPC, TRPCError} from '@trpc/server';
import {z} from 'zod';
import {
  requireAccess,
  type AccessLevel,
  type CallContext,
  type Caller,
} from '@marigoldspur/access';
import {Fault, toFault} from '@marigoldspur/faults';
import {
  CLAIM_SCHEMA,
  COMPLETION_SCHEMA,
  PERMIT_REQUEST_SCHEMA,
} from '@marigoldspur/messages';
import {CHANGE_SCHEMA, type Change} from '@marigoldspur/settings-schema';
import type {ControlService} from './service.js';

const MAX_WAIT_MS = 60_000;
const MAX_HISTORY = 1_000;
const waitSchema = z.int().min(0).max(MAX_WAIT_MS);

const trpc = initTRPC.context<CallContext>().create({
  isDev: false,
  errorFormatter: ({shape, error}) => ({
    ...shape,
    data: {
      ...shape.data,
      fault: error.cause instanceof Fault ? error.cause.code : undefined,
    },
  }),
});

function procedureFor(access: AccessLevel) {
  return trpc.procedure.use(({ctx, next}) => {
    requireAccess(ctx.caller, access);
    return next();
  });
}

/** Serves a control service over tRPC. */
export function controlRouter(service: ControlService) {
  const viewer = procedureFor('viewer');
  const operator = procedureFor('operator');
  const peer = procedureFor('process');
  return trpc.router({
    readSettings: viewer
      .input(z.object({fresh: z.boolean()}))
      .query(({input}) => answer(() => service.readSettings(input.fresh))),
    watchSettings: viewer
      .input(z.object({revision: z.int().min(0), waitMs: waitSchema}))
      .query(({input}) =>
        answer(() => service.watchSettings(input.revision, input.waitMs)),
      ),
    followSettings: viewer
      .input(z.object({revision: z.int().min(0)}))
      .subscription(({input, signal}) =>
        stream(service.followSettings(input.revision, signalOf(signal))),
      ),
    changeSettings: operator
      .input(CHANGE_SCHEMA)
      .mutation(({input, ctx}) =>
        answer(() => service.changeSettings(signed(input, ctx.caller))),
      ),
    settingsHistory: viewer
      .input(z.object({limit: z.int().min(1).max(MAX_HISTORY)}))
      .query(({input}) => answer(() => service.settingsHistory(input.limit))),
    takeClaim: peer
      .input(CLAIM_SCHEMA)
      .mutation(({input}) => answer(() => service.takeClaim(input))),
    completeClaim: peer
      .input(COMPLETION_SCHEMA)
      .mutation(({input}) => answer(() => service.completeClaim(input))),
    grantFence: peer
      .input(z.object({target: z.string(), boot: z.string()}))
      .mutation(({input}) =>
        answer(() => service.grantFence(input.target, input.boot)),
      ),
    watchMembers: viewer
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
    followMembers: viewer
      .input(z.object({table: z.string(), version: z.int().min(0)}))
      .subscription(({input, signal}) =>
        stream(
          service.followMembers(input.table, input.version, signalOf(signal)),
        ),
      ),
    acquirePermit: peer
      .input(PERMIT_REQUEST_SCHEMA)
      .mutation(({input}) => answer(() => service.acquirePermit(input))),
    releasePermit: peer
      .input(
        z.object({
          permit: z.string(),
          loaded: z.boolean(),
          /** False where no load was begun under the permit. */
          used: z.boolean().default(true),
        }),
      )
      .mutation(({input}) =>
        answer(() =>
          service.releasePermit(input.permit, input.loaded, input.used),
        ),
      ),
    status: viewer.query(() => service.status()),
  });
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof controlRouter>;

/** An operator's change carries the operator's own name. */
function signed(change: Change, caller: Caller): Change {
  return caller.kind === 'operator' ? {...change, author: caller.name} : change;
}

async function answer<T>(call: () => Promise<T>): Promise<T> {
  try {
    return await call();
  } catch (thrown) {
    throw trpcError(thrown);
  }
}

async function* stream<T>(messages: AsyncIterable<T>): AsyncGenerator<T> {
  try {
    yield* messages;
  } catch (thrown) {
    throw trpcError(thrown);
  }
}

function signalOf(signal: AbortSignal | undefined): AbortSignal {
  return signal ?? new AbortController().signal;
}

function trpcError(thrown: unknown): TRPCError {
  const fault = toFault(thrown);
  return new TRPCError({
    code: 'INTERNAL_SERVER_ERROR',
    message: fault.message,
    cause: fault,
  });
}
