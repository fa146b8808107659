import {rendezvousOrder} from '@marigoldspur/placement';

/** What a request needs of an engine. */
export interface EngineRequest {
  /** What requests share that should meet at the same engines: adapter, version and prompt beginning. */
  readonly affinity: string;
  /** Availability zone of the process that chooses. */
  readonly zone: string;
  readonly promptTokens: number;
  /** Tokens of prompt and expected answer. */
  readonly memoryTokens: number;
}

/** What is known of an engine that could serve a request. */
export interface EngineCandidate {
  readonly name: string;
  readonly zone: string;
  /**
   * Whether it holds the adapter in the version that is asked for, loads it, held it
   * lately so that it still has a copy beside the slots, has nothing of it, or does not
   * even hold its model.
   */
  readonly adapterState: 'held' | 'loading' | 'recent' | 'absent' | 'no-model';
  /** Slots that an adapter could be loaded into at once; below 0 so many adapters wait for one. */
  readonly idleSlots: number;
  /** Time between two slots that become idle where calls use all of them, in milliseconds. */
  readonly slotReleaseIntervalMs: number;
  /** Prompt tokens that it is thought to have cached already. */
  readonly cachedTokens: number;
  /** Prompt tokens of requests that were sent there and have not begun. */
  readonly pendingTokens: number;
  /** Requests that make events. */
  readonly running: number;
  /** Requests whose prompt is not read yet. */
  readonly waiting: number;
  readonly batchLimit: number;
  /** Tokens that its memory holds, and the share of it that can't be freed. */
  readonly tokenMemory: number;
  readonly memoryUsed: number;
  /** Share of its latest answers that failed, 0 to 1. */
  readonly failureRate: number;
}

/** An engine, and what a request is expected to meet there. */
export interface RankedEngine {
  readonly name: string;
  /** What decides between engines: both times below, and what speaks against the engine, in milliseconds. */
  readonly costMs: number;
  /** Time until the engine turns to the request, in milliseconds. */
  readonly waitMs: number;
  /** Time that the request itself takes from then until its first event, in milliseconds. */
  readonly processingMs: number;
}

/** Prompt tokens that an engine reads in a millisecond; the order of one accelerator pair with a large model. */
const PREFILL_TOKENS_PER_MS = 35;
/** Time in which an adapter is fetched from the store, in milliseconds. */
const LOAD_MS = 250;
/** Time in which an adapter is loaded that the engine held lately, in milliseconds. */
const RECENT_LOAD_MS = 25;
/** The store serves all engines together, and other loads wait for this one, in milliseconds. */
const STORE_MS = 150;
/** Time in which a model is loaded, in milliseconds. */
const MODEL_LOAD_MS = 1_000;
/** Time until a load that is under way is done, on average. */
const LOADING_MS = 125;
/** An adapter takes a slot from another one that is wanted too; the cost where it is the last idle slot, in milliseconds. */
const DISPLACEMENT_MS = 400;
/** What each running request adds to the time of a step and so to the first event, in milliseconds. */
const RUNNING_MS = 2;
/** Time in which the prompt of a waiting request is read, in milliseconds. */
const WAITING_MS = 120;
/** Full batch: a slot has to become free first, in milliseconds. */
const FULL_BATCH_MS = 400;
/** Full memory: requests wait or preempt others, in milliseconds. */
const FULL_MEMORY_MS = 1_500;
/** Share of the memory from which it counts as full. */
const FULL_MEMORY_SHARE = 0.92;
/** What another availability zone adds both ways, in milliseconds. */
const ZONE_MS = 3;
/** Later places in the common order cost a little, so that processes agree without talking. */
const RANK_MS = 4;
/** A failed answer costs the caller about as much as a late one, in milliseconds. */
const FAILURE_MS = 1_500;

/**
 * The engines in the order of what a request is expected to meet there until its first
 * event. Serves hundreds of requests a second over some dozens of engines.
 */
export function rankEngines(
  need: EngineRequest,
  candidates: readonly EngineCandidate[],
): RankedEngine[] {
  return rendezvousOrder(need.affinity, candidates)
    .map((candidate, rank) => weigh(need, candidate, rank))
    .sort((a, b) => a.costMs - b.costMs);
}

function weigh(
  need: EngineRequest,
  candidate: EngineCandidate,
  rank: number,
): RankedEngine {
  const waitMs =
    backlogMs(candidate) + slotWaitMs(candidate) + batchWaitMs(candidate);
  const uncached = Math.max(0, need.promptTokens - candidate.cachedTokens);
  const ownMs = uncached / PREFILL_TOKENS_PER_MS + loadMs(candidate);
  const againstMs =
    rank * RANK_MS +
    displacementMs(candidate) +
    candidate.running * RUNNING_MS +
    memoryMs(need, candidate) +
    (candidate.zone === need.zone ? 0 : ZONE_MS) +
    candidate.failureRate * FAILURE_MS;
  const costMs = waitMs + ownMs + againstMs;
  return {name: candidate.name, costMs, waitMs, processingMs: ownMs};
}

/** Time until the prompts before this one are read: this process knows its own at once, those of others later. */
function backlogMs({pendingTokens, waiting}: EngineCandidate): number {
  return Math.max(pendingTokens / PREFILL_TOKENS_PER_MS, waiting * WAITING_MS);
}

/** Time until a slot is idle for the adapter, where it takes one. */
function slotWaitMs(candidate: EngineCandidate): number {
  const {
    adapterState: adapter,
    idleSlots,
    slotReleaseIntervalMs: slotTurnMs,
  } = candidate;
  switch (adapter) {
    case 'held':
    case 'no-model':
      return 0;
    case 'loading':
      return Math.max(0, -idleSlots) * slotTurnMs;
    case 'recent':
    case 'absent':
      return Math.max(0, 1 - idleSlots) * slotTurnMs;
  }
}

function batchWaitMs({batchLimit, running}: EngineCandidate): number {
  return running >= batchLimit ? FULL_BATCH_MS : 0;
}

function loadMs({adapterState: adapter}: EngineCandidate): number {
  switch (adapter) {
    case 'held':
      return 0;
    case 'loading':
      return LOADING_MS;
    case 'recent':
      return RECENT_LOAD_MS;
    case 'absent':
      return LOAD_MS + STORE_MS;
    case 'no-model':
      return LOAD_MS + STORE_MS + MODEL_LOAD_MS;
  }
}

/** What it costs other adapters that this one takes a slot. */
function displacementMs({
  adapterState: adapter,
  idleSlots,
}: EngineCandidate): number {
  return adapter === 'recent' || adapter === 'absent'
    ? DISPLACEMENT_MS / Math.max(1, idleSlots)
    : 0;
}

function memoryMs(need: EngineRequest, candidate: EngineCandidate): number {
  const {memoryUsed, tokenMemory} = candidate;
  const share =
    tokenMemory === 0 ? 0 : memoryUsed + need.memoryTokens / tokenMemory;
  return share > FULL_MEMORY_SHARE
    ? FULL_MEMORY_MS * (1 + share - FULL_MEMORY_SHARE)
    : 0;
}
