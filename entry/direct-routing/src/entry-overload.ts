import type {Route} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {LoopClock} from '@marigoldspur/loop-clock';
import {RefusalSpell} from '@marigoldspur/memory-budget';
import {LoadShedder, shedCallDelayMs} from '@marigoldspur/overload-protection';
import type {RouteTable} from '@marigoldspur/routes';
import type {TenantProfile} from '@marigoldspur/tenant-access';
import type {CallMetadata} from './wire-format.js';

/** Options of the overload protection of an entry. */
export interface EntryOverloadOptions {
  readonly clock: Pick<LoopClock, 'lastingTurnMs'>;
  readonly routes: () =>
    Pick<RouteTable, 'priorityOf' | 'deployment'> | undefined;
  /** Whether targets share their hosts with others, so that callers compete for what is left. */
  readonly hasContention: () => boolean;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
}

const MS_PER_SECOND = 1_000;

/** Refuses calls at once while this process lacks the processor time to serve all in time. */
export class EntryOverload {
  private readonly shedder = new LoadShedder();
  private readonly spell: RefusalSpell;

  constructor(private readonly options: EntryOverloadOptions) {
    const {clock, events} = options;
    this.spell = new RefusalSpell(() =>
      events.record('entry-overloaded', {
        turnMs: Math.round(clock.lastingTurnMs),
      }),
    );
  }

  /** The refusal of a call that arrives at time `now`, in milliseconds; undefined if it is served. */
  findRefusal(
    {
      deadlineMs = Infinity,
      resumes,
    }: Pick<CallMetadata, 'deadlineMs' | 'resumes'>,
    route: Route,
    tenant: TenantProfile | undefined,
    now: number,
  ): Refusal | undefined {
    const {clock, hasContention, random, routes} = this.options;
    const table = routes();
    const isShared = table?.deployment.tenants !== undefined || hasContention();
    // Most of the work for a stream that is taken up has been done.
    if (table === undefined || !isShared || resumes !== undefined) {
      return undefined;
    }
    const priority = table.priorityOf(route, tenant);
    const call = {priority, turnMs: clock.lastingTurnMs};
    if (!this.shedder.refuses(call, now, random())) {
      return undefined;
    }
    this.spell.recordRefusal(now);
    const patienceMs = Math.min(route.timeoutMs, deadlineMs);
    return new Refusal(
      'not-run',
      503,
      'entry_overloaded',
      'the entry lacks the processor time to serve this call in time',
      Math.ceil(shedCallDelayMs(patienceMs, random())) / MS_PER_SECOND,
    );
  }
}
