import type {EngineView} from '@marigoldspur/deployment';
import {
  TargetSelector,
  type ModelWork,
  type TargetCallTracker,
} from '@marigoldspur/direct-routing';
import {createEngine, createView} from './test-engines.js';

/** How an engine of a test behaves. */
export interface TestEngine {
  /** Time that its work takes relative to the usual. */
  readonly speed: number;
  /** Time that its work takes at a time, relative to its own usual. */
  readonly paceAt?: (now: number) => number;
  /** Pace that it states in its responses at a time; by default its true one, undefined if none. */
  readonly statedPaceAt?: (now: number) => number | undefined;
  /** Adapters that it holds at the start. */
  readonly adapters?: readonly string[];
}

/** A request of a test. */
export interface TestRequest {
  readonly at: number;
  /** Index of the entry that it arrives at. */
  readonly entry: number;
  readonly promptTokens: number;
  readonly adapter?: string;
}

/** How a request ended. */
export interface TestOutcome {
  readonly request: TestRequest;
  /** Index of the engine that served it. */
  readonly engine: number;
  readonly firstEventMs: number;
  /** Longest pause between two of its events, in milliseconds. */
  longestPauseMs: number;
}

/** Options of a run. */
export interface TestFleetOptions {
  readonly engines: readonly TestEngine[];
  readonly entries: number;
  readonly requests: readonly TestRequest[];
  /** Age of the engines' states that entries see, in milliseconds. */
  readonly viewAgeMs: number;
  /** Longest pause between two events that callers accept, in milliseconds. */
  readonly maxGapMs?: number;
  readonly random: () => number;
}

interface Job {
  readonly request: TestRequest;
  readonly tracker: TargetCallTracker;
  remainingTokens: number;
  events: number;
  nextEventAt: number;
  lastEventAt: number;
  outcome?: TestOutcome;
}

const TOKENS_PER_MS = 35;
const EVENTS = 7;
const PAUSE_MS = 40;
/** Time for which the fetch of an adapter is taken to hold up an engine, in milliseconds. */
const LOAD_MS = 250;
const SLOTS = 64;
const SERVICE = {
  name: 's',
  healthPath: '/',
  maxConnections: 1_000,
  engine: {
    batchLimit: SLOTS,
    tokenMemory: 4_000_000,
    adapterSlots: 8,
    models: [{name: 'm', adapters: 100}],
  },
};

/** Serves requests in steps of one millisecond; returns the outcomes. */
export function runFleet(options: TestFleetOptions): TestOutcome[] {
  const {engines, maxGapMs, requests, viewAgeMs} = options;
  const route = {name: 'r', streaming: true, maxGapMs};
  const targets = engines.map((_, index) => createEngine(index));
  const waiting: Job[][] = engines.map(() => []);
  const running: Job[][] = engines.map(() => []);
  const views = new Map<string, EngineView>();
  const selectors = Array.from(
    {length: options.entries},
    () =>
      new TargetSelector({
        zone: 'z',
        targets: () => targets,
        engineView: address => views.get(address),
        random: options.random,
      }),
  );
  const outcomes: TestOutcome[] = [];
  const held = engines.map(({adapters}) => new Set(adapters));
  let next = 0;
  for (let now = 0; outcomes.length < requests.length; now += 1) {
    if (now % viewAgeMs === 0) {
      targets.forEach(({address}, index) =>
        views.set(
          address,
          view(waiting[index].length, running[index].length, held[index]),
        ),
      );
    }
    for (; requests[next]?.at <= now; next += 1) {
      const request = requests[next];
      const work = workOf(request, next);
      const selector = selectors[request.entry];
      const requirements = {
        service: SERVICE,
        route,
        work,
        excluded: new Set<string>(),
      };
      const {needsAdapter, target} = selector.choose(requirements, now)!;
      const index = targets.indexOf(target);
      const loadMs = needsAdapter ? LOAD_MS : 0;
      held[index].add(`m/${request.adapter}`);
      const tracker = selector.startCall(target, work, now, route);
      waiting[index].push({
        request,
        tracker,
        remainingTokens: request.promptTokens + loadMs * TOKENS_PER_MS,
        events: 0,
        nextEventAt: 0,
        lastEventAt: 0,
      });
    }
    engines.forEach((engine, index) => {
      const rate = engine.speed * (engine.paceAt?.(now) ?? 1);
      const head = waiting[index].at(0);
      if (head !== undefined) {
        head.remainingTokens -= TOKENS_PER_MS / rate;
        if (head.remainingTokens <= 0) {
          waiting[index].shift();
          running[index].push(head);
          head.nextEventAt = now;
        }
      }
      running[index] = running[index].filter(job => {
        if (job.nextEventAt > now) {
          return true;
        }
        if (job.events === 0) {
          const {request, tracker} = job;
          const firstEventMs = now - request.at;
          job.outcome = {
            request,
            engine: index,
            firstEventMs,
            longestPauseMs: 0,
          };
          outcomes.push(job.outcome);
          const load = {
            running: running[index].length,
            waiting: waiting[index].length,
            slots: SLOTS,
            pace: engine.statedPaceAt
              ? engine.statedPaceAt(now)
              : engine.paceAt?.(now),
          };
          tracker.recordResponse(metadata(load), false, now);
        }
        if (job.outcome !== undefined && job.events > 0) {
          job.outcome.longestPauseMs = Math.max(
            job.outcome.longestPauseMs,
            now - job.lastEventAt,
          );
        }
        job.lastEventAt = now;
        job.tracker.recordEvent(now);
        job.events += 1;
        job.nextEventAt = now + PAUSE_MS * rate;
        if (job.events === EVENTS) {
          job.tracker.recordCompletion(now);
          job.tracker.end(now);
        }
        return job.events < EVENTS;
      });
    });
  }
  return outcomes;
}

/** Random numbers that are the same in each run. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function workOf(request: TestRequest, index: number): ModelWork {
  const {adapter, promptTokens} = request;
  const parts = [{id: `own-${index}`, tokens: promptTokens}];
  return {model: 'm', adapter, promptTokens, maxOutputTokens: 64, parts};
}

function metadata(load: {
  running: number;
  waiting: number;
  slots: number;
  pace?: number;
}) {
  return {
    matchesCallId: true,
    isAttested: true,
    hasNotRun: false,
    isMisdirected: false,
    isLeaving: false,
    load,
  };
}

function view(
  waiting: number,
  running: number,
  adapters: ReadonlySet<string>,
): EngineView {
  const versions = Array.from(adapters, name => [name, 1] as [string, number]);
  return createView({adapters: versions, waiting, running});
}
