import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {ServiceStatsRegistry} from './service-stats.js';
import type {TargetStatsRegistry} from './target-stats-registry.js';
import type {ModelWork} from './wire-format.js';

/** Options of adapter waits. */
export interface AdapterWaitsOptions {
  readonly services: ServiceStatsRegistry;
  readonly targetStats: Pick<TargetStatsRegistry, 'snapshotOf' | 'statsOf'>;
}

/** Records which adapters calls lack at engines and wait for, and learns how long loads take. */
export class AdapterWaits {
  constructor(private readonly options: AdapterWaitsOptions) {}

  /**
   * Records that an engine does not hold the requested version of an adapter.
   */
  recordMissing(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    this.options.targetStats.statsOf(target).recordMissingAdapter(adapter, now);
  }

  /**
   * Records that a call waits from time `now` for an adapter of an engine until the returned
   * function is called, with the time at which the adapter became ready if it did. The wait is
   * taken for the load time of the store if the engine has the model and an idle slot.
   */
  start(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): (readyAt?: number) => void {
    const {services, targetStats} = this.options;
    const adapter = adapterName(work.model, work.adapter);
    const {stats, view} = targetStats.snapshotOf(target);
    const service = services.statsOf(target.service);
    const slots = service.engine?.adapterSlots ?? 0;
    const queued = stats.queuedAdapters(view);
    const isFetched =
      work.adapter !== undefined &&
      view !== undefined &&
      view.models.includes(work.model) &&
      view.awaited.length === 0 &&
      view.takenSlots + queued.size < slots &&
      !queued.has(adapter) &&
      !view.loading.includes(adapter) &&
      !stats.recentAdapters.has(adapter);
    const endWait = stats.startAdapterWait(adapter);
    return readyAt => {
      endWait();
      if (isFetched && readyAt !== undefined) {
        service.model.recordStoreLoad(readyAt - now, readyAt);
      }
    };
  }
}
