import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {plainCost} from '@marigoldspur/expected-cost';
import type {ServiceStatsRegistry} from './service-stats.js';
import type {ChosenTarget, TargetRequirements} from './target-choice.js';
import type {TargetStatsRegistry} from './target-stats-registry.js';

/** Options of a chooser of plain targets. */
export interface PlainTargetChooserOptions {
  /** Availability zone of this process. */
  readonly zone: string;
  readonly services: ServiceStatsRegistry;
  readonly targetStats: Pick<TargetStatsRegistry, 'statsOf'>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Additional cost of a plain target in another availability zone, in units of the
 * service's mean call.
 */
const OTHER_ZONE_COST = 0.05;
/** A chosen plain target of which no times are known. */
const UNKNOWN_TIMES = {
  needsAdapter: false,
  waitMs: 0,
  processingMs: 0,
  completionMs: 0,
  pauseMs: 0,
  lacksMemory: false,
};
/** Cost of a target that is full or fails mostly, which is used last. */
const LAST_COST = 1_000;
/** Share of failed responses from which a target is used last, as a full one is. */
const FAILING_SHARE = 0.5;

/** Chooses the targets of calls that need no engine. */
export class PlainTargetChooser {
  constructor(private readonly options: PlainTargetChooserOptions) {}

  /** Chooses the target at which a call is expected to be complete first; undefined without targets. */
  choose(
    targets: readonly TargetAnnouncement[],
    {route, service: {name}}: TargetRequirements,
    now: number,
  ): ChosenTarget | undefined {
    const {random, services, targetStats} = this.options;
    if (!services.usesLearnedCosts(name)) {
      return this.chooseLeastLoaded(targets, now);
    }
    const service = services.modelOf(name);
    service.costs(now);
    const meanWorkMs = service.meanWorkMs(now);
    const ownWork = service.relativeWork(route?.name ?? '', now);
    let target: TargetAnnouncement | undefined;
    let lowestCost = Infinity;
    let completionMs = 0;
    for (const each of targets) {
      const stats = targetStats.statsOf(each);
      const {failureRate, model, reportedLoad} = stats;
      const uncertainty = reportedLoad.uncertainty(now) * (random() - 0.5);
      const work = plainCost({
        workInFront: stats.workInFront(now) + uncertainty,
        slots: each.slots,
        ownWork,
        factor: model.response.factor,
        pace: model.pace.at(now),
        meanWorkMs,
      });
      const isLast =
        stats.knownLoad(now) >= each.slots || failureRate > FAILING_SHARE;
      const cost =
        work +
        this.zoneCost(each) +
        failureRate +
        (isLast ? LAST_COST : 0) +
        random() / 1_000;
      if (cost < lowestCost) {
        target = each;
        lowestCost = cost;
        completionMs = work * meanWorkMs;
      }
    }
    return target && {...UNKNOWN_TIMES, target, completionMs};
  }

  /** Chooses the target with the fewest requests for its slots. */
  private chooseLeastLoaded(
    targets: readonly TargetAnnouncement[],
    now: number,
  ): ChosenTarget | undefined {
    const ranked = targets.map(target => ({
      target,
      cost: this.relativeLoad(target, now) + this.options.random() / 1_000,
    }));
    ranked.sort((a, b) => a.cost - b.cost);
    const target = ranked.at(0)?.target;
    return target && {...UNKNOWN_TIMES, target};
  }

  private relativeLoad(target: TargetAnnouncement, now: number): number {
    const stats = this.options.targetStats.statsOf(target);
    return (
      stats.knownLoad(now) / target.slots +
      this.zoneCost(target) +
      stats.failureRate
    );
  }

  private zoneCost({zone}: TargetAnnouncement): number {
    return zone === this.options.zone ? 0 : OTHER_ZONE_COST;
  }
}
