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
import {EngineClient} from '@marigoldspur/target-client';
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

/** What the engine's part of an agent is made from. */
export interface EngineComponentsOptions {
  readonly client: ControlClient;
  readonly follower: SettingsFollower;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly boot: string;
  /** Called when the state of the target changes. */
  readonly changed: () => void;
}

/** The parts of an agent that only an engine's has. */
export interface StartedEngineComponents extends EngineComponents {
  readonly slots: SlotTable;
  readonly cacheFollower: CacheFollower;
  /** Fencing number of the orders. */
  readonly fence: number;
}

/** Prepares the orders to an engine under a new fencing number. */
export async function startEngineComponents(
  settings: AgentSettings,
  options: EngineComponentsOptions,
): Promise<StartedEngineComponents> {
  const {client, events, follower, metrics} = options;
  const askedAt = performance.now();
  const {fence, first, silentMs} = await requestFence(settings, options);
  const path = `/${settings.customer}/${settings.service}`;
  const inForce = () =>
    resolveSettings(follower.settings.tree, path) ?? DEFAULT_SETTINGS;
  const eviction = new RetiredFirstEviction(
    new SettingsEviction(() => inForce().eviction),
    model => isRetired(follower.settings.tree, settings.customer, model),
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
    {at: performance.now(), silentMs: first ? Infinity : silentMs},
  );
  lease.recordConfirmation(askedAt);
  const keeper = new LeaseManager(lease, events);
  const watch = new TargetMonitor({
    engine,
    resident,
    slots,
    events,
    metrics,
    keeper,
    changed: options.changed,
  });
  watch.start(settings.healthIntervalMs);
  const controlGate = new ControlLoadLimiter(client);
  const gate = new FallbackLoadLimiter({
    control: controlGate,
    share: new LocalLoadLimiter({
      loadsPerSecond: settings.isolatedLoadsPerSecond,
    }),
    isAway: () => keeper.controlAway(performance.now()),
    turned: () => events.record('loads-isolated'),
  });
  const settleMs = settings.loadTimeoutMs;
  const orders = new SlotOrderExecutor({
    slots,
    engine,
    resident,
    watch,
    keeper,
    events,
    settleMs,
  });
  const agent = settings.id;
  const prefetches = new Prefetcher({
    agent,
    slots,
    orders,
    keeper,
    gate: controlGate,
    events,
    metrics,
    demand: () => host.demand,
  });
  const host: AdapterLoader = new AdapterLoader({
    agent,
    slots,
    resident,
    orders,
    keeper,
    gate,
    prefetches,
    events,
    metrics,
  });
  follower.onChange((before, after) => {
    if (inForce().prefetch) {
      const held = {...settings, resident: slots.resident()};
      findSuccessors(before, after, held).forEach(successor =>
        prefetches.begin(successor, performance.now()),
      );
    }
  });
  const prefixes = new CachedPrefixes();
  const cacheFollower = new CacheFollower({
    engine,
    prefixes,
    wanted: () => inForce().prefixAffinity > 0,
    events,
    metrics,
  });
  cacheFollower.start();
  return {slots, watch, host, keeper, fence, prefixes, cacheFollower};
}
