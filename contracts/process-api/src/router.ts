import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {
  requireAccess,
  type AccessLevel,
  type CallContext,
} from '@marigoldspur/access';
import type {Event} from '@marigoldspur/event-catalogue';
import type {SettingsDelta} from '@marigoldspur/control-api';
import type {ProcessStatus} from '@marigoldspur/messages';

const MAX_EVENTS = 10_000;

/** The API that every process serves to operators. */
export interface ProcessService {
  status(): ProcessStatus;
  /** Returns events after a sequence number; only those of `request` if it is given. */
  events(after: number, limit: number, request?: string): readonly Event[];
  /** Starts a graceful shutdown. */
  drain(): void;
  /** Returns the changes of the settings after a revision; absent if the process serves no settings to others. */
  settings?(revision: number): SettingsDelta;
}

const trpc = initTRPC.context<CallContext>().create({isDev: false});

function createProcedure(access: AccessLevel) {
  return trpc.procedure.use(({ctx, next}) => {
    requireAccess(ctx.caller, access);
    return next();
  });
}

/** Serves a process service over tRPC. */
export function createProcessRouter(service: ProcessService) {
  return trpc.router({
    status: createProcedure('viewer').query(() => service.status()),
    events: createProcedure('viewer')
      .input(
        z.object({
          after: z.int().min(0),
          limit: z.int().min(1).max(MAX_EVENTS),
          request: z.string().optional(),
        }),
      )
      .query(({input}) =>
        service.events(input.after, input.limit, input.request),
      ),
    settings: createProcedure('process')
      .input(z.object({revision: z.int().min(0)}))
      .query(({input}) => service.settings?.(input.revision)),
    drain: createProcedure('operator').mutation(() => service.drain()),
  });
}

/** Type of the router, for clients. */
export type ProcessRouter = ReturnType<typeof createProcessRouter>;
