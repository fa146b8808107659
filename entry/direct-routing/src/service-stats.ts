import type {Service} from '@marigoldspur/deployment';
import {ServiceModel, type TargetModel} from '@marigoldspur/expected-cost';
import {SlotReleaseEstimator} from './slot-release-estimator.js';

/** What this process knows about one service. */
export class ServiceStats {
  /** What its targets have in common. */
  readonly model = new ServiceModel();
  /** Whether one of its targets has stated its pace. */
  hasStatedPace = false;
  /** Settings of its engines, as the last choice had them. */
  engine: Service['engine'];
}

/** Options of a registry of services' statistics. */
export interface ServiceStatsRegistryOptions {
  /**
   * Whether learned costs count only for services whose targets state their pace; for all services if
   * absent.
   */
  readonly requiresStatedPace?: boolean;
}

/** Keeps what this process knows about each service. */
export class ServiceStatsRegistry {
  readonly slotReleases = new SlotReleaseEstimator();
  private readonly statsByName = new Map<string, ServiceStats>();

  constructor(private readonly options: ServiceStatsRegistryOptions) {}

  /** Returns what is known about a service; new statistics if it is unknown. */
  statsOf(name: string): ServiceStats {
    let stats = this.statsByName.get(name);
    if (stats === undefined) {
      stats = new ServiceStats();
      this.statsByName.set(name, stats);
    }
    return stats;
  }

  modelOf(name: string): ServiceModel {
    return this.statsOf(name).model;
  }

  /** Whether what was learned of the targets of a service decides between them. */
  usesLearnedCosts(name: string): boolean {
    return (
      this.options.requiresStatedPace !== true ||
      this.statsOf(name).hasStatedPace
    );
  }

  /** Drops a target from the models of all services. */
  removeTarget(target: TargetModel): void {
    this.statsByName.forEach(({model}) => model.removeTarget(target));
  }
}
