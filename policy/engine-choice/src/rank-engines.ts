import {
  PRIOR_COSTS,
  stretchByPace,
  type ServiceCosts,
} from '@marigoldspur/expected-cost';
import {rendezvousRanks} from '@marigoldspur/placement';

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
  /** Longest pause between two events that the caller accepts, in milliseconds; any if absent. */
  readonly maxPauseMs?: number;
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
  /** Tokens promised to this process's calls that `memoryUsed` does not contain yet. */
  readonly promisedTokens: number;
  /** Moving average of the share of failed responses, 0 to 1. */
  readonly failureRate: number;
  /** Time that prompts take relative to the median of the service. */
  readonly prefillFactor: number;
  /** Pauses between events relative to the median of the service. */
  readonly decodeFactor: number;
  /** How long work currently takes there as the engine states itself; 1 is the usual time. */
  readonly pace: number;
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
  /** Expected pause between two of its events, in milliseconds; 0 if not known. */
  readonly pauseMs: number;
  /** Whether its memory has room for the request, as far as known. */
  readonly hasRoom: boolean;
}

/** Time to load an adapter that the engine held recently, in milliseconds. */
const RECENT_LOAD_MS = 25;
/** Average share of a load that is left if it is running. */
const REMAINING_LOAD_SHARE = 0.5;
/**
 * Cost of displacing another adapter that is also in demand, if this is the
 * last idle slot, in milliseconds.
 */
const DISPLACEMENT_MS = 400;
/** Time until a full batch has a free place, in milliseconds. */
const FULL_BATCH_MS = 400;
/**
 * Cost of full token memory, in milliseconds: requests wait or preempt others.
 */
const FULL_MEMORY_MS = 1_500;
/** Share of the token memory from which it counts as full. */
const FULL_MEMORY_SHARE = 0.92;
/** Cost by which an engine without room ranks after all engines with room, in milliseconds. */
export const NO_ROOM_MS = 1e9;
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
 * Cost of pauses twice as long as the caller accepts, in milliseconds; to the caller it is
 * about as bad as a late response.
 */
const LONG_PAUSE_MS = 1_500;

/**
 * Ranks engines by cost, the lowest first: the expected time until a request's first event and
 * penalties, such as for displaced adapters, full memory, long pauses and failures.
 */
export function rankEngines(
  request: EngineRequest,
  candidates: readonly EngineCandidate[],
  costs: ServiceCosts = PRIOR_COSTS,
): RankedEngine[] {
  const ranks = rendezvousRanks(request.affinityKey, candidates);
  return candidates
    .map((candidate, index) =>
      estimate(request, candidate, ranks[index], costs),
    )
    .sort((a, b) => a.costMs - b.costMs);
}

/** The estimate of a request at one engine. */
export function estimate(
  request: EngineRequest,
  candidate: EngineCandidate,
  rank: number,
  costs: ServiceCosts,
): RankedEngine {
  return {
    name: candidate.name,
    costMs: estimateCostMs(request, candidate, rank, costs),
    waitMs: estimateWaitMs(candidate, costs),
    processingMs: estimateProcessingMs(request, candidate, costs),
    pauseMs: estimatePauseMs(candidate, costs),
    hasRoom: hasRoom(request, candidate),
  };
}

/** Ranking cost of a request at one engine, in milliseconds. */
export function estimateCostMs(
  request: EngineRequest,
  candidate: EngineCandidate,
  rank: number,
  costs: ServiceCosts,
): number {
  return (
    estimateWaitMs(candidate, costs) +
    estimateProcessingMs(request, candidate, costs) +
    rank * RANK_PENALTY_MS +
    displacementMs(candidate) +
    runningMs(candidate, costs) +
    memoryPenaltyMs(request, candidate) +
    pausePenaltyMs(request, candidate, costs) +
    (candidate.zone === request.zone ? 0 : OTHER_ZONE_MS) +
    candidate.failureRate * FAILURE_MS
  );
}

/**
 * The part of an engine's cost that is the same for all requests of its service, with the
 * processing of one mean prompt, in milliseconds.
 */
export function estimateCommonMs(
  candidate: EngineCandidate,
  costs: ServiceCosts,
): number {
  return (
    promptMs(
      candidate,
      queuedTokens(candidate, costs) + costs.meanPromptTokens,
      costs,
    ) +
    batchWaitMs(candidate) +
    runningMs(candidate, costs) +
    candidate.failureRate * FAILURE_MS +
    (candidate.adapterState === 'no-model' ? costs.modelLoadMs : 0)
  );
}

function estimateWaitMs(
  candidate: EngineCandidate,
  costs: ServiceCosts,
): number {
  return (
    promptMs(candidate, queuedTokens(candidate, costs), costs) +
    slotWaitMs(candidate) +
    batchWaitMs(candidate)
  );
}

function estimateProcessingMs(
  {promptTokens}: EngineRequest,
  candidate: EngineCandidate,
  costs: ServiceCosts,
): number {
  const uncachedTokens = Math.max(0, promptTokens - candidate.cachedTokens);
  const fixedTokens = costs.firstEventMs * costs.prefillTokensPerMs;
  return (
    promptMs(candidate, fixedTokens + uncachedTokens, costs) +
    loadMs(candidate, costs)
  );
}

/** Time that an engine takes for prompts, at its relative speed and its current pace. */
function promptMs(
  {pace, prefillFactor}: EngineCandidate,
  tokens: number,
  {prefillTokensPerMs}: ServiceCosts,
): number {
  return stretchByPace((tokens / prefillTokensPerMs) * prefillFactor, pace);
}

/**
 * Prompt tokens queued before the request. This process's own requests are known immediately,
 * those of other processes later and by their number alone.
 */
function queuedTokens(
  {pendingTokens, waiting}: EngineCandidate,
  {meanPromptTokens}: ServiceCosts,
): number {
  return Math.max(pendingTokens, waiting * meanPromptTokens);
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

function loadMs(
  {adapterState}: EngineCandidate,
  {modelLoadMs, storeContentionMs, storeLoadMs}: ServiceCosts,
): number {
  switch (adapterState) {
    case 'held':
      return 0;
    case 'loading':
      return storeLoadMs * REMAINING_LOAD_SHARE;
    case 'recent':
      return RECENT_LOAD_MS;
    case 'absent':
      return storeLoadMs + storeContentionMs;
    case 'no-model':
      return storeLoadMs + storeContentionMs + modelLoadMs;
  }
}

/** Cost to other adapters of this one taking a slot. */
function displacementMs({adapterState, idleSlots}: EngineCandidate): number {
  return adapterState === 'recent' || adapterState === 'absent'
    ? DISPLACEMENT_MS / Math.max(1, idleSlots)
    : 0;
}

/** Time that the running requests add to the first event. */
function runningMs(
  {decodeFactor, pace, running}: EngineCandidate,
  {runningRequestMs}: ServiceCosts,
): number {
  return running * runningRequestMs * decodeFactor * pace;
}

function estimatePauseMs(
  {decodeFactor, pace, running}: EngineCandidate,
  {pauseMs, pausePerRequestMs}: ServiceCosts,
): number {
  return pauseMs === 0
    ? 0
    : (pauseMs + running * pausePerRequestMs) * decodeFactor * pace;
}

/** Cost of pauses that are longer than the caller accepts. */
function pausePenaltyMs(
  {maxPauseMs = 0}: EngineRequest,
  candidate: EngineCandidate,
  costs: ServiceCosts,
): number {
  const pauseMs = maxPauseMs > 0 ? estimatePauseMs(candidate, costs) : 0;
  return pauseMs > maxPauseMs && maxPauseMs > 0
    ? LONG_PAUSE_MS * Math.min(1, pauseMs / maxPauseMs - 1)
    : 0;
}

function memoryPenaltyMs(
  request: EngineRequest,
  candidate: EngineCandidate,
): number {
  const {memoryUsed, tokenMemory} = candidate;
  const share =
    tokenMemory === 0 ? 0 : memoryUsed + request.memoryTokens / tokenMemory;
  const fullMs =
    share > FULL_MEMORY_SHARE
      ? FULL_MEMORY_MS * (1 + share - FULL_MEMORY_SHARE)
      : 0;
  return hasRoom(request, candidate) ? fullMs : fullMs + NO_ROOM_MS;
}

/**
 * Whether the memory of an engine has room for a request besides what is known and promised.
 * Of a request that is larger than the whole memory, the engine itself decides.
 */
function hasRoom(
  {memoryTokens}: EngineRequest,
  {cachedTokens, memoryUsed, promisedTokens, tokenMemory}: EngineCandidate,
): boolean {
  const neededTokens = Math.max(0, memoryTokens - cachedTokens);
  return (
    tokenMemory === 0 ||
    memoryTokens > tokenMemory ||
    memoryUsed * tokenMemory + promisedTokens + neededTokens <= tokenMemory
  );
}
