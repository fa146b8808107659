import { SlotTable } from '@marigoldspur/adapter-slots';
import { createEviction } from '@marigoldspur/eviction';
import { OrderLease } from '@marigoldspur/order-lease';
import { settingsOf } from '@marigoldspur/settings-tree';
import { EngineClient } from '@marigoldspur/target-client';
import { AdapterHost } from './adapter-host.js';
import { LeaseKeeper } from './lease-keeper.js';
import { ControlLoadGate, FallbackLoadGate, ShareLoadGate } from './load-gate.js';
import { SlotOrders } from './slot-orders.js';
import { TargetWatch } from './target-watch.js';
const GRANT_TIMEOUT_MS = 60_000;
/** Prepares the orders to an engine under a new fencing number. */
export async function prepareEngine(settings, options) {
    const { client, events, follower, metrics } = options;
    const askedAt = performance.now();
    const fence = await grantFence(settings, options);
    const path = `/${settings.customer}/${settings.service}`;
    const policy = settingsOf(follower.settings.tree, path)?.eviction ?? 'lru';
    const slots = new SlotTable(0, createEviction(policy));
    const engine = new EngineClient(settings.targetUrl, () => fence, settings.loadTimeoutMs);
    const lease = new OrderLease({
        leaseMs: settings.orderLeaseMs,
        orderMs: settings.loadTimeoutMs,
        fenceChecked: settings.fenceChecked,
    }, performance.now());
    lease.confirmed(askedAt);
    const keeper = new LeaseKeeper(lease, events);
    const watch = new TargetWatch({
        engine,
        slots,
        events,
        metrics,
        keeper,
        changed: options.changed,
    });
    watch.start(settings.healthIntervalMs);
    const gate = new FallbackLoadGate({
        control: new ControlLoadGate(client),
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
        watch,
        keeper,
        events,
        settleMs,
    });
    const agent = settings.id;
    const host = new AdapterHost({
        agent,
        slots,
        orders,
        keeper,
        gate,
        events,
        metrics,
    });
    return { slots, watch, host, keeper, fence };
}
async function grantFence(settings, { boot, client }) {
    const granted = await client.call((replica, signal) => replica.grantFence.mutate({ target: settings.target, boot }, { signal }), performance.now() + GRANT_TIMEOUT_MS);
    if (granted.isErr) {
        throw granted.error;
    }
    return granted.value;
}
