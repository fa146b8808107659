import {SlotTable} from '@marigoldspur/adapter-slots';
import type {
  ControlClient,
  SettingsFollower,
} from '@marigoldspur/control-client';
import {RetiredFirstEviction} from '@marigoldspur/eviction';
import type {EventLog} from '@marigoldspur/event-log';
import {OrderLease} from '@marigoldspur/order-lease';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {settingsOf} from '@marigoldspur/settings-tree';
import {EngineClient} from '@marigoldspur/target-client';
import {AdapterHost} from './adapter-host.js';
import type {AgentMetrics} from './agent-metrics.js';
import type {AgentSettings} from './agent-settings.js';
import {CacheFollower} from './cache-follower.js';
import {CachedPrefixes} from './cached-prefixes.js';
import type {EngineParts} from './engine-parts.js';
import {grantFence} from './grant-fence.js';
import {LeaseKeeper} from './lease-keeper.js';
import {ControlLoadGate, FallbackLoadGate, ShareLoadGate} from './load-gate.js';
import {ResidentAdapters} from './resident-adapters.js';
import {isRetired, newVersions} from './new-versions.js';
import {PrefetchDesk} from './prefetch-desk.js';
import {SettingsEviction} from './settings-eviction.js';
import {SlotOrders} from './slot-orders.js';
import {TargetWatch} from './target-watch.js';

/** What the engine's part of an agent is made from. */
export interface PrepareEngineOptions {
  readonly client: ControlClient;
  readonly follower: SettingsFollower;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly boot: string;
  /** Called when the state of the target changes. */
  readonly changed: () => void;
}

/** The parts of an agent that only an engine's has. */
export interface PreparedEngine extends EngineParts {
  readonly slots: SlotTable;
  readonly cacheFollower: CacheFollower;
  /** Fencing number of the orders. */
  readonly fence: number;
}

/** Prepares the orders to an engine under a new fencing number. */
export async function prepareEngine(
  settings: AgentSettings,
  options: PrepareEngineOptions,
): Promise<PreparedEngine> {
  const {client, events, follower, metrics} = options;
  const askedAt = performance.now();
  const {fence, first, silentMs} = await grantFence(settings, options);
  const path = `/${settings.customer}/${settings.service}`;
  const inForce = () =>
    settingsOf(follower.settings.tree, path) ?? DEFAULT_SETTINGS;
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
  lease.confirmed(askedAt);
  const keeper = new LeaseKeeper(lease, events);
  const watch = new TargetWatch({
    engine,
    resident,
    slots,
    events,
    metrics,
    keeper,
    changed: options.changed,
  });
  watch.start(settings.healthIntervalMs);
  const controlGate = new ControlLoadGate(client);
  const gate = new FallbackLoadGate({
    control: controlGate,
    share: new ShareLoadGate({
      loadsPerSecond: settings.isolatedLoadsPerSecond,
    }),
    isAway: () => keeper.controlAway(performance.now()),
    turned: () => events.record('loads-isolated'),
  });
  const settleMs = settings.loadTimeoutMs;
  const orders = new SlotOrders({
    slots,
    engine,
    resident,
    watch,
    keeper,
    events,
    settleMs,
  });
  const agent = settings.id;
  const prefetches = new PrefetchDesk({
    agent,
    slots,
    orders,
    keeper,
    gate: controlGate,
    events,
    metrics,
    demand: () => host.demand,
  });
  const host: AdapterHost = new AdapterHost({
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
      newVersions(before, after, held).forEach(successor =>
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
