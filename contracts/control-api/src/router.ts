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
const MAX_HISTORY_LENGTH = 1_000;
const WAIT_MS_SCHEMA = z.int().min(0).max(MAX_WAIT_MS);

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

function createProcedure(access: AccessLevel) {
  return trpc.procedure.use(({ctx, next}) => {
    requireAccess(ctx.caller, access);
    return next();
  });
}

/** Serves a control service over tRPC. */
export function createControlRouter(service: ControlService) {
  const viewer = createProcedure('viewer');
  const operator = createProcedure('operator');
  const processOnly = createProcedure('process');
  return trpc.router({
    readSettings: viewer
      .input(z.object({fresh: z.boolean()}))
      .query(({input}) =>
        withTrpcErrors(() => service.readSettings(input.fresh)),
      ),
    watchSettings: viewer
      .input(z.object({revision: z.int().min(0), waitMs: WAIT_MS_SCHEMA}))
      .query(({input}) =>
        withTrpcErrors(() =>
          service.watchSettings(input.revision, input.waitMs),
        ),
      ),
    followSettings: viewer
      .input(z.object({revision: z.int().min(0)}))
      .subscription(({input, signal}) =>
        streamWithTrpcErrors(
          service.followSettings(input.revision, ensureSignal(signal)),
        ),
      ),
    changeSettings: operator
      .input(CHANGE_SCHEMA)
      .mutation(({input, ctx}) =>
        withTrpcErrors(() =>
          service.changeSettings(withAuthor(input, ctx.caller)),
        ),
      ),
    settingsHistory: viewer
      .input(z.object({limit: z.int().min(1).max(MAX_HISTORY_LENGTH)}))
      .query(({input}) =>
        withTrpcErrors(() => service.settingsHistory(input.limit)),
      ),
    takeClaim: processOnly
      .input(CLAIM_SCHEMA)
      .mutation(({input}) => withTrpcErrors(() => service.takeClaim(input))),
    completeClaim: processOnly
      .input(COMPLETION_SCHEMA)
      .mutation(({input}) =>
        withTrpcErrors(() => service.completeClaim(input)),
      ),
    grantFence: processOnly
      .input(z.object({target: z.string(), boot: z.string()}))
      .mutation(({input}) =>
        withTrpcErrors(() => service.grantFence(input.target, input.boot)),
      ),
    watchMembers: viewer
      .input(
        z.object({
          table: z.string(),
          version: z.int().min(0),
          waitMs: WAIT_MS_SCHEMA,
        }),
      )
      .query(({input}) =>
        withTrpcErrors(() =>
          service.watchMembers(input.table, input.version, input.waitMs),
        ),
      ),
    followMembers: viewer
      .input(z.object({table: z.string(), version: z.int().min(0)}))
      .subscription(({input, signal}) =>
        streamWithTrpcErrors(
          service.followMembers(
            input.table,
            input.version,
            ensureSignal(signal),
          ),
        ),
      ),
    acquirePermit: processOnly
      .input(PERMIT_REQUEST_SCHEMA)
      .mutation(({input}) =>
        withTrpcErrors(() => service.acquirePermit(input)),
      ),
    releasePermit: processOnly
      .input(
        z.object({
          permit: z.string(),
          loaded: z.boolean(),
          /** False if no load was started under the permit. */
          used: z.boolean().default(true),
        }),
      )
      .mutation(({input}) =>
        withTrpcErrors(() =>
          service.releasePermit(input.permit, input.loaded, input.used),
        ),
      ),
    status: viewer.query(() => service.status()),
  });
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;

/** Sets the author of an operator's change to the name of the operator. */
function withAuthor(change: Change, caller: Caller): Change {
  return caller.kind === 'operator' ? {...change, author: caller.name} : change;
}

async function withTrpcErrors<T>(call: () => Promise<T>): Promise<T> {
  try {
    return await call();
  } catch (thrown) {
    throw toTrpcError(thrown);
  }
}

async function* streamWithTrpcErrors<T>(
  messages: AsyncIterable<T>,
): AsyncGenerator<T> {
  try {
    yield* messages;
  } catch (thrown) {
    throw toTrpcError(thrown);
  }
}

/** Returns the signal, or one that never aborts if there is none. */
function ensureSignal(signal: AbortSignal | undefined): AbortSignal {
  return signal ?? new AbortController().signal;
}

function toTrpcError(thrown: unknown): TRPCError {
  const fault = toFault(thrown);
  return new TRPCError({
    code: 'INTERNAL_SERVER_ERROR',
    message: fault.message,
    cause: fault,
  });
}
