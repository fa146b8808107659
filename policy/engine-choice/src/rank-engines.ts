import {rendezvousOrder} from '@marigoldspur/placement';

/** What a request requires of an engine. */
export interface EngineRequest {
  /**
   * Key of requests that should go to the same engines: adapter, version and
   * start of the prompt.
   */
  readonly affinityKey: string;
  /** Availability zone of the choosing process. */
  readonly zone: string;
  readonly promptTokens: number;
  /** Tokens of the prompt and the expected output. */
  readonly memoryTokens: number;
}

/** What is known about an engine that could serve a request. */
export interface EngineCandidate {
  readonly name: string;
  readonly zone: string;
  /**
   * State of the requested adapter version at the engine: held in a slot, being
   * loaded, recently held so that a copy is still kept outside the slots, or
   * absent. `no-model` if the engine does not even hold the base model.
   */
  readonly adapterState: 'held' | 'loading' | 'recent' | 'absent' | 'no-model';
  /**
   * Slots into which an adapter could be loaded immediately; if negative, that
   * many adapters wait for a slot.
   */
  readonly idleSlots: number;
  /**
   * Expected time between two slots becoming idle when calls use all of them,
   * in milliseconds.
   */
  readonly slotReleaseIntervalMs: number;
  /** Prompt tokens that the engine is expected to have cached. */
  readonly cachedTokens: number;
  /**
   * Prompt tokens of requests that were sent to the engine and whose first
   * event has not arrived.
   */
  readonly pendingTokens: number;
  /** Requests that are producing tokens. */
  readonly running: number;
  /** Requests whose prompt has not been processed yet. */
  readonly waiting: number;
  readonly batchLimit: number;
  /** Capacity of the engine's token memory, in tokens. */
  readonly tokenMemory: number;
  /** Share of the token memory that is in use and cannot be freed, 0 to 1. */
  readonly memoryUsed: number;
  /** Moving average of the share of failed responses, 0 to 1. */
  readonly failureRate: number;
}

/** An engine with the expected cost of a request there. */
export interface RankedEngine {
  readonly name: string;
  /**
   * Ranking cost: waiting time, processing time and penalties, in milliseconds.
   */
  readonly costMs: number;
  /**
   * Expected time until the engine starts to process the request, in
   * milliseconds.
   */
  readonly waitMs: number;
  /**
   * Expected time from then until the first event of the request, in
   * milliseconds.
   */
  readonly processingMs: number;
}

/**
 * Prompt tokens that an engine processes per millisecond; the order of
 * magnitude of one accelerator pair with a large model.
 */
const PREFILL_TOKENS_PER_MS = 35;
/** Time to fetch an adapter from the store, in milliseconds. */
const STORE_LOAD_MS = 250;
/** Time to load an adapter that the engine held recently, in milliseconds. */
const RECENT_LOAD_MS = 25;
/**
 * Cost to other loads, in milliseconds: the store serves all engines, so other
 * loads wait for this one.
 */
const STORE_CONTENTION_MS = 150;
/** Time to load a base model, in milliseconds. */
const MODEL_LOAD_MS = 1_000;
/** Average time until a running load ends, in milliseconds. */
const REMAINING_LOAD_MS = 125;
/**
 * Cost of displacing another adapter that is also in demand, if this is the
 * last idle slot, in milliseconds.
 */
const DISPLACEMENT_MS = 400;
/**
 * Time that each running request adds to a step, and so to the first event, in
 * milliseconds.
 */
const RUNNING_REQUEST_MS = 2;
/** Time to process the prompt of one waiting request, in milliseconds. */
const WAITING_PROMPT_MS = 120;
/** Time until a full batch has a free place, in milliseconds. */
const FULL_BATCH_MS = 400;
/**
 * Cost of full token memory, in milliseconds: requests wait or preempt others.
 */
const FULL_MEMORY_MS = 1_500;
/** Share of the token memory from which it counts as full. */
const FULL_MEMORY_SHARE = 0.92;
/** Round-trip time added by another availability zone, in milliseconds. */
const OTHER_ZONE_MS = 3;
/**
 * Small cost of each further rank in the rendezvous order, so that processes
 * agree without communication, in milliseconds.
 */
const RANK_PENALTY_MS = 4;
/**
 * Cost of a failed response, in milliseconds; to the caller it is about as bad
 * as a late one.
 */
const FAILURE_MS = 1_500;

/**
 * Ranks engines by the expected time until a request's first event, lowest cost
 * first. Must handle hundreds of requests per second over dozens of engines.
 */
export function rankEngines(
  request: EngineRequest,
  candidates: readonly EngineCandidate[],
): RankedEngine[] {
  return rendezvousOrder(request.affinityKey, candidates)
    .map((candidate, rank) => estimateCost(request, candidate, rank))
    .sort((a, b) => a.costMs - b.costMs);
}

function estimateCost(
  request: EngineRequest,
  candidate: EngineCandidate,
  rank: number,
): RankedEngine {
  const waitMs =
    promptQueueMs(candidate) + slotWaitMs(candidate) + batchWaitMs(candidate);
  const uncachedTokens = Math.max(
    0,
    request.promptTokens - candidate.cachedTokens,
  );
  const processingMs =
    uncachedTokens / PREFILL_TOKENS_PER_MS + loadMs(candidate);
  const penaltyMs =
    rank * RANK_PENALTY_MS +
    displacementMs(candidate) +
    candidate.running * RUNNING_REQUEST_MS +
    memoryPenaltyMs(request, candidate) +
    (candidate.zone === request.zone ? 0 : OTHER_ZONE_MS) +
    candidate.failureRate * FAILURE_MS;
  const costMs = waitMs + processingMs + penaltyMs;
  return {name: candidate.name, costMs, waitMs, processingMs};
}

/**
 * Time until the prompts queued before this one are processed. This process's
 * own requests are known immediately, those of other processes later.
 */
function promptQueueMs({pendingTokens, waiting}: EngineCandidate): number {
  return Math.max(
    pendingTokens / PREFILL_TOKENS_PER_MS,
    waiting * WAITING_PROMPT_MS,
  );
}

/** Time until a slot is idle for the adapter, if it needs one. */
function slotWaitMs(candidate: EngineCandidate): number {
  const {adapterState, idleSlots, slotReleaseIntervalMs} = candidate;
  switch (adapterState) {
    case 'held':
    case 'no-model':
      return 0;
    case 'loading':
      return Math.max(0, -idleSlots) * slotReleaseIntervalMs;
    case 'recent':
    case 'absent':
      return Math.max(0, 1 - idleSlots) * slotReleaseIntervalMs;
  }
}

function batchWaitMs({batchLimit, running}: EngineCandidate): number {
  return running >= batchLimit ? FULL_BATCH_MS : 0;
}

function loadMs({adapterState}: EngineCandidate): number {
  switch (adapterState) {
    case 'held':
      return 0;
    case 'loading':
      return REMAINING_LOAD_MS;
    case 'recent':
      return RECENT_LOAD_MS;
    case 'absent':
      return STORE_LOAD_MS + STORE_CONTENTION_MS;
    case 'no-model':
      return STORE_LOAD_MS + STORE_CONTENTION_MS + MODEL_LOAD_MS;
  }
}

/** Cost to other adapters of this one taking a slot. */
function displacementMs({adapterState, idleSlots}: EngineCandidate): number {
  return adapterState === 'recent' || adapterState === 'absent'
    ? DISPLACEMENT_MS / Math.max(1, idleSlots)
    : 0;
}

function memoryPenaltyMs(
  request: EngineRequest,
  candidate: EngineCandidate,
): number {
  const {memoryUsed, tokenMemory} = candidate;
  const share =
    tokenMemory === 0 ? 0 : memoryUsed + request.memoryTokens / tokenMemory;
  return share > FULL_MEMORY_SHARE
    ? FULL_MEMORY_MS * (1 + share - FULL_MEMORY_SHARE)
    : 0;
}
