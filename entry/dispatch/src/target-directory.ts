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
  /** Boot identity of the agent. */
  readonly boot: string;
}

/**
 * Where a prompt's prefix is said to be cached: at the chosen target, only at others,
 * or nowhere.
 */
export type PrefixLocation = 'chosen' | 'elsewhere' | 'nowhere';

/** The destination of a request. */
export interface ChosenDestination extends Destination {
  /** Absent where no hints are used. */
  readonly prefixLocation?: PrefixLocation;
}

/** What a request needs of a target. */
export interface DestinationRequirements {
  readonly customer: string;
  readonly service: string;
  /** Adapter and version, `adapter@version`; undefined for a plain service. */
  readonly model: string | undefined;
  /** Targets that were tried already. */
  readonly tried: ReadonlySet<string>;
  /** Prefixes of the prompt, shortest first; none where no hints are used. */
  readonly prefixes?: readonly PromptPrefix[];
}

/** What is known of how busy the targets are. */
export interface TargetLoads {
  /** The load report of a member, where one is known. */
  loadOf(member: Member): LoadReport | undefined;
  /** Whether load reports of a member can be known here. */
  isInRegion(member: Member): boolean;
}

const NO_LOAD: LoadReport = {resident: [], running: 0, waiting: 0};

/** Chooses among the targets that are known to serve. */
export class TargetDirectory {
  private readonly sent = new Map<string, number>();

  /** `members` gives the members known now; `zone` is the entry's; `hints` tell of cached prefixes. */
  constructor(
    private readonly members: () => readonly Member[],
    private readonly zone: string,
    private readonly health: Pick<TargetHealthMonitor, 'usable'>,
    private readonly loads: TargetLoads,
    private readonly hints?: PrefixHints,
  ) {}

  /** The destination of a request at time `now`; undefined where no target serves it. */
  choose(
    need: DestinationRequirements,
    placement: PlacementPolicy,
    now: number,
  ): ChosenDestination | undefined {
    const serving = this.members().filter(member => serves(member, need));
    const usable = this.health.usable(serving.map(destinationOf), now);
    const names = new Set(usable.map(destination => destination.target));
    const reached = serving.filter(agent => names.has(agent.target!.name));
    const near = reached.filter(agent => this.loads.isInRegion(agent));
    // Those of other regions would pass for idle.
    const agents = near.length > 0 ? near : reached;
    const candidates = agents.map(agent => this.candidate(agent));
    const prefixes = this.shares(need, agents, now);
    const request = {model: need.model, zone: this.zone, prefixes};
    const chosen = placement.choose(request, candidates, now);
    const agent = agents.find(member => member.target?.name === chosen?.name);
    if (agent === undefined) {
      return undefined;
    }
    this.hints?.recordPrompt(need.prefixes ?? [], hintedTarget(agent), now);
    return {
      ...destinationOf(agent),
      prefixLocation: prefixes && hintOf(agent, prefixes),
    };
  }

  /** Where a target can be reached now: it may have more than one agent for a while. */
  reaching(target: string): Destination[] {
    return this.members()
      .filter(member => member.target?.name === target)
      .map(destinationOf);
  }

  /** Counts an attempt as sent until the returned function is called. */
  startAttempt(target: string): () => void {
    this.sent.set(target, (this.sent.get(target) ?? 0) + 1);
    return () => this.sent.set(target, (this.sent.get(target) ?? 1) - 1);
  }

  private shares(
    {prefixes = []}: DestinationRequirements,
    agents: readonly Member[],
    now: number,
  ): Map<string, number> | undefined {
    return prefixes.length === 0
      ? undefined
      : this.hints?.cachedShares(prefixes, agents.map(hintedTarget), now);
  }

  private candidate(agent: Member): PlacementCandidate {
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
      load: Math.max(reported, this.sent.get(target.name) ?? 0),
      batchLimit: target.batchLimit,
    };
  }
}

function destinationOf(agent: Member): Destination {
  return {target: agent.target!.name, url: agent.url, boot: agent.boot};
}

function hintOf(
  {target}: Member,
  prefixes: ReadonlyMap<string, number>,
): PrefixLocation {
  if (prefixes.has(target!.name)) {
    return 'chosen';
  }
  return prefixes.size > 0 ? 'elsewhere' : 'nowhere';
}

function hintedTarget({target}: Member): TargetInstance {
  return {name: target!.name, boot: target!.boot};
}

function serves(member: Member, need: DestinationRequirements): boolean {
  const {target} = member;
  return (
    target !== undefined &&
    !member.leaving &&
    target.healthy &&
    target.customer === need.customer &&
    target.service === need.service &&
    !need.tried.has(target.name)
  );
}
