import {SlotTable} from '@marigoldspur/adapter-slots';
import {
  ControlClient,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {EventLog, jsonLineSink} from '@marigoldspur/event-log';
import {createEviction} from '@marigoldspur/eviction';
import {openLinkSecurity} from '@marigoldspur/link-security';
import {processMetrics} from '@marigoldspur/metrics';
import type {Member, TargetReport} from '@marigoldspur/messages';
import {bootIdentity, type Task} from '@marigoldspur/process-life';
import {startProcessServer} from '@marigoldspur/process-server';
import {settingsOf} from '@marigoldspur/settings-tree';
import {EngineClient} from '@marigoldspur/target-client';
import {AdapterHost} from './adapter-host.js';
import type {AgentSettings} from './agent-settings.js';
import {AttemptDesk} from './attempt-desk.js';
import {ControlLoadGate} from './load-gate.js';
import {TargetWatch} from './target-watch.js';

const VERSION = '0.1.0';
const START_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 67_108_864;
const DRAIN_POLL_MS = 20;

/** Starts the agent beside a target. */
export async function startAgent(
  settings: AgentSettings,
  drain: () => void,
): Promise<Task> {
  const boot = bootIdentity();
  const startedAt = performance.now();
  const events = new EventLog({
    process: settings.id,
    sinks: [jsonLineSink(settings.logLevel)],
  });
  const security = await openLinkSecurity(settings, events);
  const client = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const follower = new SettingsFollower(client, events);
  await follower.start(performance.now() + START_TIMEOUT_MS);
  const engine = await prepareEngine(settings, client, follower, events, boot);
  const desk = new AttemptDesk({
    target: settings.target,
    targetUrl: settings.targetUrl,
    customer: settings.customer,
    service: settings.service,
    settings: follower,
    events,
    maxBodyBytes: MAX_BODY_BYTES,
    host: engine?.host,
    watch: engine?.watch,
  });
  let draining = false;
  const server = await startProcessServer({
    address: {host: settings.host, port: settings.port},
    security,
    metrics: processMetrics({
      process: settings.id,
      role: 'agent',
      zone: settings.zone,
    }),
    ready: () => !draining,
    fallback: (request, response) => void desk.handle(request, response),
    service: {
      status: () => ({
        id: settings.id,
        role: 'agent',
        zone: settings.zone,
        boot,
        version: VERSION,
        revision: follower.settings.revision,
        ready: !draining,
        draining,
        uptimeMs: performance.now() - startedAt,
        facts: {
          target: settings.target,
          running: desk.load,
          healthy: report().healthy,
          resident: report().resident.join(' '),
        },
      }),
      events: (after, limit, request) => events.after(after, limit, request),
      drain,
    },
  });
  const report = (): TargetReport => ({
    name: settings.target,
    customer: settings.customer,
    service: settings.service,
    boot: engine?.watch.state.boot ?? boot,
    healthy: engine?.watch.state.healthy ?? true,
    slots: engine?.slots.size ?? 0,
    resident: engine?.slots.resident() ?? [],
    running: desk.load,
    waiting: engine?.host.waiting ?? 0,
    batchLimit: engine?.watch.state.batchLimit ?? settings.batchLimit,
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'agent',
    zone: settings.zone,
    boot,
    url: server.url,
    revision: follower.settings.revision,
    leaving: draining,
    target: report(),
  });
  const heartbeat = startHeartbeat(client, member);
  events.record('process-started', {url: server.url, boot});
  return {
    async stop() {
      draining = true;
      events.record('process-draining');
      await heartbeat.beat();
      await pause(settings.settleMs);
      desk.close();
      const deadline = performance.now() + settings.drainMs;
      while (desk.load > 0 && performance.now() < deadline) {
        await pause(DRAIN_POLL_MS);
      }
      heartbeat.stop();
      engine?.watch.stop();
      await follower.stop();
      client.close();
      security.stop();
      events.record('process-stopped');
    },
  };
}

async function prepareEngine(
  settings: AgentSettings,
  client: ControlClient,
  follower: SettingsFollower,
  events: EventLog,
  boot: string,
) {
  if (settings.targetKind === 'service') {
    return undefined;
  }
  const granted = await client.call(
    (replica, signal) =>
      replica.grantFence.mutate({target: settings.target, boot}, {signal}),
    performance.now() + START_TIMEOUT_MS,
  );
  if (granted.isErr) {
    throw granted.error;
  }
  const fence = granted.value;
  const path = `/${settings.customer}/${settings.service}`;
  const policy = settingsOf(follower.settings.tree, path)?.eviction ?? 'lru';
  const slots = new SlotTable(0, createEviction(policy));
  const engine = new EngineClient(
    settings.targetUrl,
    () => fence,
    settings.loadTimeoutMs,
  );
  const watch = new TargetWatch(engine, slots, events);
  watch.start(settings.healthIntervalMs);
  const gate = new ControlLoadGate(client);
  const host = new AdapterHost({
    agent: settings.id,
    slots,
    engine,
    gate,
    events,
  });
  return {slots, watch, host};
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
