import type {Member, TargetReport} from '@marigoldspur/messages';
import {
  ControlClient,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {EventLog, jsonLineSink} from '@marigoldspur/event-log';
import {openLinkSecurity} from '@marigoldspur/link-security';
import {processMetrics} from '@marigoldspur/metrics';
import {bootIdentity, type Task} from '@marigoldspur/process-life';
import {startProcessServer} from '@marigoldspur/process-server';
import {agentMetrics} from './agent-metrics.js';
import type {AgentSettings} from './agent-settings.js';
import {AttemptDesk} from './attempt-desk.js';
import {prepareEngine} from './prepare-engine.js';
import {ServiceWatch} from './service-watch.js';

const VERSION = '0.1.0';
const START_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 67_108_864;
const MAX_HELD_BYTES = 67_108_864;
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
  const processRegistry = processMetrics({
    process: settings.id,
    role: 'agent',
    zone: settings.zone,
  });
  const metrics = agentMetrics(processRegistry.registry);
  let announce = () => {};
  const changed = () => announce();
  const parts = {client, follower, events, metrics, boot, changed};
  const engine =
    settings.targetKind === 'engine'
      ? await prepareEngine(settings, parts)
      : undefined;
  const service = new ServiceWatch(settings.targetUrl, changed);
  if (engine === undefined) {
    service.start(settings.healthIntervalMs);
  }
  const desk = new AttemptDesk({
    target: settings.target,
    targetUrl: settings.targetUrl,
    customer: settings.customer,
    service: settings.service,
    settings: follower,
    heard: (revision, url) => follower.heard(revision, url),
    events,
    metrics,
    maxBodyBytes: MAX_BODY_BYTES,
    maxHeldBytes: MAX_HELD_BYTES,
    engine,
    serviceHealthy: () => service.healthy,
  });
  let draining = false;
  const isLeaving = () => draining || engine?.watch.state.leaving === true;
  const report = (): TargetReport => ({
    name: settings.target,
    customer: settings.customer,
    service: settings.service,
    boot: engine?.watch.state.boot ?? boot,
    healthy: engine?.watch.state.healthy ?? service.healthy,
    slots: engine?.slots.size ?? 0,
    resident: engine?.slots.resident() ?? [],
    pinned: engine?.slots.pinned(),
    loading: engine?.host.loading,
    running: desk.load,
    waiting: engine?.host.waiting ?? 0,
    batchLimit: engine?.watch.state.batchLimit ?? settings.batchLimit,
    fence: engine?.fence,
  });
  const server = await startProcessServer({
    address: {host: settings.host, port: settings.port},
    security,
    metrics: processRegistry,
    ready: () => !draining,
    fallback: (request, response) => void desk.handle(request, response),
    checkContinue: (request, response) =>
      void desk.handle(request, response, true),
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
      settings: revision => follower.deltaAfter(revision),
      drain,
    },
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'agent',
    zone: settings.zone,
    boot,
    url: server.url,
    revision: follower.settings.revision,
    leaving: isLeaving(),
    target: report(),
  });
  const heartbeat = startHeartbeat(client, member, answer => {
    engine?.keeper.answered(answer);
    if (answer.result.isOk) {
      follower.heard(answer.result.value.revision);
    }
  });
  engine?.keeper.use(heartbeat);
  announce = () => void heartbeat.beat();
  events.record('process-started', {url: server.url, boot});
  return {
    async stop() {
      draining = true;
      events.record('process-draining');
      // A heartbeat that is on its way may not say yet that the process leaves.
      await heartbeat.beat();
      await heartbeat.beat();
      await pause(settings.settleMs);
      desk.close();
      const deadline = performance.now() + settings.drainMs;
      while (desk.load > 0 && performance.now() < deadline) {
        await pause(DRAIN_POLL_MS);
      }
      heartbeat.stop();
      engine?.watch.stop();
      service.stop();
      await follower.stop();
      client.close();
      security.stop();
      events.record('process-stopped');
    },
  };
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
