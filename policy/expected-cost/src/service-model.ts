import {ClippedMean} from './clipped-mean.js';
import {HiddenRequests} from './hidden-requests.js';
import {PauseLine} from './pause-line.js';
import {RobustMean} from './robust-mean.js';
import {RouteModel} from './route-model.js';
import {PRIOR_COSTS, type ServiceCosts} from './service-costs.js';
import {stretchByPace} from './stated-pace.js';
import type {RelativeTime, TargetModel} from './target-model.js';

/** The first event of a call whose prompt was the work in front of it. */
export interface FirstEvent {
  /** Prompt tokens of the call that were not cached. */
  readonly promptTokens: number;
  readonly tookMs: number;
}

/** Pauses between the events of a stream that ended. */
export interface StreamPauses {
  readonly meanMs: number;
  /** Requests that ran at the engine meanwhile. */
  readonly running: number;
}

/** A complete response of a plain call. */
export interface PlainResponse {
  readonly route: string;
  /** Work of other requests per slot when the call was sent, in units of the service's mean call. */
  readonly workInFront: number;
  readonly tookMs: number;
}

/** Shortest prompt from which the prefill speed is learned, in tokens. */
const MIN_PREFILL_TOKENS = 1_000;
/** Smallest share of a time that is taken as processing if other work explains the rest. */
const MIN_OWN_SHARE = 0.1;
/** Largest factor between a learned figure and its prior. */
const MAX_COST_FACTOR = 4;
/** Longest time to the first event apart from its prompt, in milliseconds. */
const MAX_FIRST_EVENT_MS = 500;
/** Time for which the figures relative to the median are kept, in milliseconds. */
const REFRESH_MS = 250;
/** Observations that the median counts for in a target's own figure. */
const MEDIAN_WEIGHT = 8;
/** Observations from which a target counts for the median. */
const MIN_OBSERVATIONS = 3;
/** Difference from the median that is taken for noise, as a natural logarithm. */
const NOISE = 0.1;
/** Largest factor between a target and the median. */
const MAX_RELATIVE_TIME = 3;
/** Observations from which a target may count as slow. */
const MIN_SLOW_OBSERVATIONS = 8;
/** Time relative to the median from which a target counts as slow. */
const SLOW_TIME = 2;
/** Maximum number of routes whose work is kept; the first ones are evicted. */
const MAX_ROUTES = 256;
const SERVICE_HALF_LIFE_MS = 300_000;
/** Time after which what was observed of the store counts half, in milliseconds. */
const STORE_HALF_LIFE_MS = 5_000;

/**
 * What the targets of one service have in common, learned from calls. Each figure is a robust
 * average that starts from a prior and is bounded.
 */
export class ServiceModel {
  /** Requests of other processes that no report shows yet. */
  readonly hiddenRequests = new HiddenRequests();
  private readonly targets = new Set<TargetModel>();
  private readonly routes = new Map<string, RouteModel>();
  private readonly prefillMsPerToken = new RobustMean({
    prior: 1 / PRIOR_COSTS.prefillTokensPerMs,
    priorWeight: 16,
    window: 128,
    halfLifeMs: SERVICE_HALF_LIFE_MS,
    // Prompts of other processes, which are not known yet, only ever add to the time.
    maxRise: 1.25,
  });
  private readonly firstEventMs = new RobustMean({
    priorWeight: 0,
    window: 128,
    halfLifeMs: SERVICE_HALF_LIFE_MS,
    maxRise: 1.25,
  });
  private readonly storeLoadMs = new RobustMean({
    prior: PRIOR_COSTS.storeLoadMs,
    priorWeight: 4,
    window: 16,
    halfLifeMs: STORE_HALF_LIFE_MS,
  });
  private readonly pauses = new PauseLine(PRIOR_COSTS.runningRequestMs);
  private readonly promptTokens = new ClippedMean(
    PRIOR_COSTS.meanPromptTokens,
    16,
    256,
  );
  private readonly workMs = new RobustMean({
    priorWeight: 0,
    window: 256,
    halfLifeMs: SERVICE_HALF_LIFE_MS,
  });
  private learned = PRIOR_COSTS;
  private refreshedAt = -Infinity;

  addTarget(target: TargetModel): void {
    this.targets.add(target);
  }

  removeTarget(target: TargetModel): void {
    this.targets.delete(target);
  }

  /** What work costs at the usual target at time `now`; the object is kept for a while. */
  costs(now: number): ServiceCosts {
    this.refresh(now);
    return this.learned;
  }

  /** Expected pause between events at the usual engine with `running` requests, in milliseconds; 0 if not known. */
  pauseMs(running: number): number {
    return this.pauses.pauseMs(running);
  }

  /** Expected time of the service's mean plain call, in milliseconds; 0 if not known. */
  meanWorkMs(now: number): number {
    return this.workMs.countAt(now) > 0 ? this.workMs.valueAt(now) : 0;
  }

  /**
   * Expected time until a target has processed this many prompt tokens and sends the first
   * event while `running` requests run, in milliseconds.
   */
  expectedFirstEventMs(
    target: TargetModel,
    {promptTokens, running}: {promptTokens: number; running: number},
    now: number,
  ): number {
    const {firstEventMs, prefillTokensPerMs, runningRequestMs} =
      this.costs(now);
    const {decode, pace, prefill} = target;
    const usualMs =
      firstEventMs * prefill.factor +
      (promptTokens / prefillTokensPerMs) * prefill.factor +
      running * runningRequestMs * decode.factor;
    return stretchByPace(usualMs, pace.at(now));
  }

  /** What is known about the calls of a route. */
  route(name: string): RouteModel {
    let model = this.routes.get(name);
    if (model === undefined) {
      model = new RouteModel();
      this.routes.set(name, model);
      if (this.routes.size > MAX_ROUTES) {
        this.routes.delete(this.routes.keys().next().value!);
      }
    }
    return model;
  }

  /** Expected work of a plain call of a route, in units of the service's mean call. */
  relativeWork(route: string, now: number): number {
    const model = this.routes.get(route)?.workMs;
    const count = model?.countAt(now) ?? 0;
    if (model === undefined || count === 0) {
      return 1;
    }
    const share = count / (count + MEDIAN_WEIGHT);
    const work = Math.exp(
      (model.logValueAt(now) - this.workMs.logValueAt(now)) * share,
    );
    return Math.min(2 * MAX_COST_FACTOR, Math.max(1 / MAX_COST_FACTOR, work));
  }

  /** Records how many prompt tokens of a call that is sent are not cached. */
  recordPrompt(promptTokens: number): void {
    this.promptTokens.add(promptTokens);
  }

  recordFirstEvent(target: TargetModel, event: FirstEvent, now: number): void {
    const {promptTokens, tookMs} = event;
    const pace = target.pace.at(now);
    const usualMs = tookMs / pace / target.prefill.factor;
    const isLong = promptTokens >= MIN_PREFILL_TOKENS;
    const knownMs = this.usualFirstEventMs(promptTokens, now);
    if (isLong || this.firstEventMs.countAt(now) >= MIN_OBSERVATIONS) {
      target.prefill.observed.add(tookMs / pace / knownMs, now);
    }
    if (isLong) {
      const ownMs = usualMs - this.fixedFirstEventMs(now);
      this.prefillMsPerToken.add(
        Math.max(ownMs, MIN_OWN_SHARE * usualMs) / promptTokens,
        now,
      );
    } else {
      const promptMs = promptTokens * this.msPerToken(now);
      this.firstEventMs.add(
        Math.max(usualMs - promptMs, MIN_OWN_SHARE * usualMs),
        now,
      );
    }
  }

  recordPauses(
    target: TargetModel,
    {meanMs, running}: StreamPauses,
    now: number,
  ): void {
    const paced = meanMs / target.pace.at(now);
    const expected = this.pauses.pauseMs(running);
    if (expected > 0) {
      target.decode.observed.add(paced / expected, now);
    }
    this.pauses.add(running, paced / target.decode.factor);
  }

  recordPlainResponse(
    target: TargetModel,
    {route, tookMs, workInFront}: PlainResponse,
    now: number,
  ): void {
    const {workMs} = this.route(route);
    const paced = tookMs / target.pace.at(now);
    const frontMs = workInFront * this.meanWorkMs(now);
    if (workMs.countAt(now) >= MIN_OBSERVATIONS) {
      const expectedMs = frontMs + workMs.valueAt(now);
      target.response.observed.add(paced / expectedMs, now);
    }
    const usualMs = paced / target.response.factor;
    const ownMs = Math.max(usualMs - frontMs, MIN_OWN_SHARE * usualMs);
    workMs.add(ownMs, now);
    this.workMs.add(ownMs, now);
  }

  /** Records how long an idle slot waited for an adapter from the store. */
  recordStoreLoad(tookMs: number, now: number): void {
    this.storeLoadMs.add(tookMs, now);
  }

  /** Whether an engine takes more than twice the time of its peers, by enough observations. */
  isSlow(target: TargetModel, now: number): boolean {
    return [target.prefill, target.decode, target.response].some(
      ({observed, observedFactor}) =>
        observedFactor >= SLOW_TIME &&
        observed.countAt(now) >= MIN_SLOW_OBSERVATIONS,
    );
  }

  /** Time that a target takes relative to its peers, of the kind of work in which it is slowest. */
  slownessOf({decode, prefill, response}: TargetModel): number {
    return Math.max(
      decode.observedFactor,
      prefill.observedFactor,
      response.observedFactor,
    );
  }

  private refresh(now: number): void {
    if (now - this.refreshedAt < REFRESH_MS) {
      return;
    }
    this.refreshedAt = now;
    for (const kind of ['prefill', 'decode', 'response'] as const) {
      refreshFactors(
        Array.from(this.targets, target => target[kind]),
        now,
      );
    }
    const {meanPromptTokens} = PRIOR_COSTS;
    this.learned = {
      ...PRIOR_COSTS,
      prefillTokensPerMs: 1 / this.msPerToken(now),
      firstEventMs: this.fixedFirstEventMs(now),
      runningRequestMs: clampAround(
        this.pauses.slopeMs,
        PRIOR_COSTS.runningRequestMs,
      ),
      pausePerRequestMs: this.pauses.slopeMs,
      pauseMs: this.pauses.pauseMs(0),
      meanPromptTokens: Math.max(
        meanPromptTokens / (2 * MAX_COST_FACTOR),
        this.promptTokens.value,
      ),
      storeLoadMs: clampAround(
        this.storeLoadMs.valueAt(now),
        PRIOR_COSTS.storeLoadMs,
      ),
    };
  }

  private msPerToken(now: number): number {
    return clampAround(
      this.prefillMsPerToken.valueAt(now),
      1 / PRIOR_COSTS.prefillTokensPerMs,
    );
  }

  private fixedFirstEventMs(now: number): number {
    return this.firstEventMs.countAt(now) < MIN_OBSERVATIONS
      ? 0
      : Math.min(MAX_FIRST_EVENT_MS, this.firstEventMs.valueAt(now));
  }

  private usualFirstEventMs(promptTokens: number, now: number): number {
    return this.fixedFirstEventMs(now) + promptTokens * this.msPerToken(now);
  }
}

/** Sets how long each target takes relative to the median of those observed. */
function refreshFactors(times: readonly RelativeTime[], now: number): void {
  const known = times
    .filter(({observed}) => observed.countAt(now) >= MIN_OBSERVATIONS)
    .map(({observed}) => observed.logValueAt(now))
    .sort((a, b) => a - b);
  const middle = known.length >> 1;
  const median =
    known.length % 2 === 1
      ? known[middle]
      : (known[middle - 1] + known[middle]) / 2;
  for (const time of times) {
    const count = time.observed.countAt(now);
    const share = known.length < 2 ? 0 : count / (count + MEDIAN_WEIGHT);
    const observed = share === 0 ? 0 : time.observed.logValueAt(now) - median;
    const difference = observed * share;
    time.observedFactor = Math.exp(observed);
    time.factor = Math.exp(distinguish(difference));
  }
}

/** Limits a difference, and leaves out noise: none counts below it, all from twice as much. */
function distinguish(difference: number): number {
  const limit = Math.log(MAX_RELATIVE_TIME);
  const size = Math.abs(difference);
  const distinct = Math.min(limit, size, Math.max(0, 2 * (size - NOISE)));
  return Math.sign(difference) * distinct;
}

function clampAround(value: number, prior: number): number {
  return Math.min(
    prior * MAX_COST_FACTOR,
    Math.max(prior / MAX_COST_FACTOR, value),
  );
}
