import {SlotTable} from '@marigoldspur/adapter-slots';
import type {
  ControlClient,
  SettingsFollower,
} from '@marigoldspur/control-client';
import {RetiredFirstEviction} from '@marigoldspur/eviction';
import type {EventLog} from '@marigoldspur/event-log';
import {OrderLease} from '@marigoldspur/order-lease';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {resolveSettings} from '@marigoldspur/settings-tree';
import {EngineClient} from '@marigoldspur/engine-client';
import {AdapterLoader} from './adapter-loader.js';
import type {AgentMetrics} from './agent-metrics.js';
import type {AgentSettings} from './agent-settings.js';
import {CacheFollower} from './cache-follower.js';
import {CachedPrefixes} from './cached-prefixes.js';
import type {EngineComponents} from './engine-components.js';
import {requestFence} from './request-fence.js';
import {LeaseManager} from './lease-manager.js';
import {
  ControlLoadLimiter,
  FallbackLoadLimiter,
  LocalLoadLimiter,
} from './load-limiter.js';
import {ResidentAdapters} from './resident-adapters.js';
import {isRetired, findSuccessors} from './find-successors.js';
import {Prefetcher} from './prefetcher.js';
import {SettingsEviction} from './settings-eviction.js';
import {SlotOrderExecutor} from './slot-order-executor.js';
import {TargetMonitor} from './target-monitor.js';

/** Options of {@link startEngineComponents}. */
export interface EngineComponentsOptions {
  readonly controlClient: ControlClient;
  readonly settingsFollower: SettingsFollower;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly boot: string;
  /** Called when the state of the target changes. */
  readonly onChange: () => void;
}

/**
 * Components of an agent whose target is an engine, after they were started.
 */
export interface StartedEngineComponents extends EngineComponents {
  readonly slots: SlotTable;
  readonly cacheFollower: CacheFollower;
  /** Fencing number of the orders. */
  readonly fence: number;
}

/**
 * Requests a new fencing number and starts the components that manage an
 * engine.
 */
export async function startEngineComponents(
  settings: AgentSettings,
  options: EngineComponentsOptions,
): Promise<StartedEngineComponents> {
  const {controlClient, events, settingsFollower, metrics} = options;
  const requestedAt = performance.now();
  const {fence, first, silentMs} = await requestFence(settings, options);
  const path = `/${settings.customer}/${settings.service}`;
  const currentSettings = () =>
    resolveSettings(settingsFollower.settings.tree, path) ?? DEFAULT_SETTINGS;
  const eviction = new RetiredFirstEviction(
    new SettingsEviction(() => currentSettings().eviction),
    model =>
      isRetired(settingsFollower.settings.tree, settings.customer, model),
  );
  const slots = new SlotTable(0, eviction);
  const engine = new EngineClient(
    settings.targetUrl,
    () => fence,
    settings.loadTimeoutMs,
  );
  const resident = new ResidentAdapters(engine);
  const lease = new OrderLease(
    {
      leaseMs: settings.orderLeaseMs,
      orderMs: settings.loadTimeoutMs,
      fenceChecked: settings.fenceChecked,
    },
    {grantedAt: performance.now(), silentMs: first ? Infinity : silentMs},
  );
  lease.recordConfirmation(requestedAt);
  const leaseManager = new LeaseManager(lease, events);
  const monitor = new TargetMonitor({
    engine,
    resident,
    slots,
    events,
    metrics,
    leaseManager,
    onChange: options.onChange,
  });
  monitor.start(settings.healthIntervalMs);
  const controlLimiter = new ControlLoadLimiter(controlClient);
  const limiter = new FallbackLoadLimiter({
    control: controlLimiter,
    local: new LocalLoadLimiter({
      loadsPerSecond: settings.isolatedLoadsPerSecond,
    }),
    isControlUnreachable: () =>
      leaseManager.isControlUnreachable(performance.now()),
    onFallback: () => events.record('loads-isolated'),
  });
  const resolveTimeoutMs = settings.loadTimeoutMs;
  const orderExecutor = new SlotOrderExecutor({
    slots,
    engine,
    resident,
    monitor,
    leaseManager,
    events,
    resolveTimeoutMs,
  });
  const agent = settings.id;
  const prefetcher = new Prefetcher({
    agent,
    slots,
    orderExecutor,
    leaseManager,
    limiter: controlLimiter,
    events,
    metrics,
    demand: () => loader.demand,
  });
  const loader: AdapterLoader = new AdapterLoader({
    agent,
    slots,
    resident,
    orderExecutor,
    leaseManager,
    limiter,
    prefetcher,
    events,
    metrics,
  });
  settingsFollower.onChange((before, after) => {
    if (currentSettings().prefetch) {
      const targetAdapters = {...settings, resident: slots.resident()};
      findSuccessors(before, after, targetAdapters).forEach(successor =>
        prefetcher.start(successor, performance.now()),
      );
    }
  });
  const prefixes = new CachedPrefixes();
  const cacheFollower = new CacheFollower({
    engine,
    prefixes,
    isWanted: () => currentSettings().prefixAffinity > 0,
    events,
    metrics,
  });
  cacheFollower.start();
  return {slots, monitor, loader, leaseManager, fence, prefixes, cacheFollower};
}
