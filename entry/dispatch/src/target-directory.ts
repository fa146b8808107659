import type {LoadReport, Member} from '@marigoldspur/messages';
import type {TargetInstance, PrefixHints} from './prefix-hints.js';
import type {PromptPrefix} from './prompt-prefixes.js';
import type {TargetHealthMonitor} from './target-health-monitor.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
} from '@marigoldspur/placement';

/** A target with the agent beside it. */
export interface Destination {
  readonly target: string;
  /** Base URL of the agent. */
  readonly url: string;
  /** Boot ID of the agent. */
  readonly boot: string;
}

/**
 * Where a prompt's prefix is expected to be cached: at the chosen target, only
 * at others, or nowhere.
 */
export type PrefixLocation = 'chosen' | 'elsewhere' | 'nowhere';

/** The destination chosen for a request. */
export interface ChosenDestination extends Destination {
  /** Absent if no hints are used. */
  readonly prefixLocation?: PrefixLocation;
}

/** What a request requires of a target. */
export interface DestinationRequirements {
  readonly customer: string;
  readonly service: string;
  /** Adapter and version, `adapter@version`; undefined for a plain service. */
  readonly model: string | undefined;
  /** Targets that have already been tried. */
  readonly tried: ReadonlySet<string>;
  /** Prefixes of the prompt, shortest first; none if no hints are used. */
  readonly prefixes?: readonly PromptPrefix[];
}

/** Provides the load of targets. */
export interface TargetLoads {
  /** The load report of a member, if known. */
  loadOf(member: Member): LoadReport | undefined;
  /** Whether load reports of a member are available in this region. */
  isInRegion(member: Member): boolean;
}

const NO_LOAD: LoadReport = {resident: [], running: 0, waiting: 0};

/** Chooses targets from the known members. */
export class TargetDirectory {
  private readonly attemptCounts = new Map<string, number>();

  /**
   * `members` returns the known members; `zone` is the entry's; `hints`
   * provides cached prefixes.
   */
  constructor(
    private readonly members: () => readonly Member[],
    private readonly zone: string,
    private readonly health: Pick<TargetHealthMonitor, 'filterUsable'>,
    private readonly loads: TargetLoads,
    private readonly hints?: PrefixHints,
  ) {}

  /**
   * Chooses the destination of a request at time `now`; undefined if no target
   * serves it.
   */
  choose(
    requirements: DestinationRequirements,
    placement: PlacementPolicy,
    now: number,
  ): ChosenDestination | undefined {
    const serving = this.members().filter(member =>
      serves(member, requirements),
    );
    const usable = this.health.filterUsable(serving.map(destinationOf), now);
    const names = new Set(usable.map(destination => destination.target));
    const reachable = serving.filter(agent => names.has(agent.target!.name));
    const inRegion = reachable.filter(agent => this.loads.isInRegion(agent));
    // Targets of other regions have no load reports and would look idle.
    const agents = inRegion.length > 0 ? inRegion : reachable;
    const candidates = agents.map(agent => this.toCandidate(agent));
    const cachedShares = this.cachedShares(requirements, agents, now);
    const request = {model: requirements.model, zone: this.zone, cachedShares};
    const chosen = placement.choose(request, candidates, now);
    const agent = agents.find(member => member.target?.name === chosen?.name);
    if (agent === undefined) {
      return undefined;
    }
    this.hints?.recordPrompt(
      requirements.prefixes ?? [],
      targetInstance(agent),
      now,
    );
    return {
      ...destinationOf(agent),
      prefixLocation: cachedShares && locatePrefix(agent, cachedShares),
    };
  }

  /**
   * The current destinations of a target; for a short time it may have more
   * than one agent.
   */
  destinationsOf(target: string): Destination[] {
    return this.members()
      .filter(member => member.target?.name === target)
      .map(destinationOf);
  }

  /** Counts an attempt at a target until the returned function is called. */
  startAttempt(target: string): () => void {
    this.attemptCounts.set(target, (this.attemptCounts.get(target) ?? 0) + 1);
    return () =>
      this.attemptCounts.set(target, (this.attemptCounts.get(target) ?? 1) - 1);
  }

  private cachedShares(
    {prefixes = []}: DestinationRequirements,
    agents: readonly Member[],
    now: number,
  ): Map<string, number> | undefined {
    return prefixes.length === 0
      ? undefined
      : this.hints?.cachedShares(prefixes, agents.map(targetInstance), now);
  }

  private toCandidate(agent: Member): PlacementCandidate {
    const target = agent.target!;
    const report = this.loads.loadOf(agent) ?? NO_LOAD;
    const reported = report.running + report.waiting;
    return {
      name: target.name,
      zone: agent.zone,
      resident: new Set(report.resident),
      pinned: report.pinned && new Set(report.pinned),
      loading: report.loading && new Set(report.loading),
      slots: target.slots,
      load: Math.max(reported, this.attemptCounts.get(target.name) ?? 0),
      batchLimit: target.batchLimit,
    };
  }
}

function destinationOf(agent: Member): Destination {
  return {target: agent.target!.name, url: agent.url, boot: agent.boot};
}

function locatePrefix(
  {target}: Member,
  cachedShares: ReadonlyMap<string, number>,
): PrefixLocation {
  if (cachedShares.has(target!.name)) {
    return 'chosen';
  }
  return cachedShares.size > 0 ? 'elsewhere' : 'nowhere';
}

function targetInstance({target}: Member): TargetInstance {
  return {name: target!.name, boot: target!.boot};
}

function serves(
  member: Member,
  requirements: DestinationRequirements,
): boolean {
  const {target} = member;
  return (
    target !== undefined &&
    !member.leaving &&
    target.healthy &&
    target.customer === requirements.customer &&
    target.service === requirements.service &&
    !requirements.tried.has(target.name)
  );
}
