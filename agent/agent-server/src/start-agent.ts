import {setTimeout as pause} from 'node:timers/promises';
import type {LoadReport, Member, TargetReport} from '@marigoldspur/messages';
import {
  ControlClient,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import type {Task} from '@marigoldspur/process-life';
import {findService} from '@marigoldspur/settings-tree';
import {ProcessRuntime} from '@marigoldspur/process-shell';
import {createAgentMetrics} from './agent-metrics.js';
import type {AgentSettings} from './agent-settings.js';
import {AttemptHandler} from './attempt-handler.js';
import {requestFence} from './request-fence.js';
import {startEngineComponents} from './start-engine-components.js';
import {ServiceMonitor} from './service-monitor.js';

const START_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 67_108_864;
const DRAIN_POLL_MS = 20;

/** Starts the agent beside a target. */
export async function startAgent(
  settings: AgentSettings,
  drain: () => void,
): Promise<Task> {
  const shell = await ProcessRuntime.open('agent', settings);
  const {boot, events, security} = shell;
  const client = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const follower = new SettingsFollower(client, events);
  await follower.start(performance.now() + START_TIMEOUT_MS);
  const metrics = createAgentMetrics(shell.metrics.registry);
  let announce = () => {};
  const changed = () => announce();
  const parts = {client, follower, events, metrics, boot, changed};
  const engine =
    settings.targetKind === 'engine'
      ? await startEngineComponents(settings, parts)
      : undefined;
  const fence = engine?.fence ?? (await requestFence(settings, parts)).fence;
  let superseded = false;
  const service = new ServiceMonitor({
    url: settings.targetUrl,
    healthPath: () => {
      const {tree} = follower.settings;
      const found = findService(tree, settings.customer, settings.service);
      return found?.kind === 'plain' ? found.healthPath : undefined;
    },
    changed,
  });
  if (engine === undefined) {
    service.start(settings.healthIntervalMs);
  }
  const desk = new AttemptHandler({
    target: settings.target,
    targetUrl: settings.targetUrl,
    customer: settings.customer,
    service: settings.service,
    settings: follower,
    heard: (revision, url) => follower.observeRevision(revision, url),
    events,
    metrics,
    maxBodyBytes: MAX_BODY_BYTES,
    maxHeldBytes: settings.maxHeldBytes,
    engine,
    serviceHealthy: () => service.healthy,
    superseded: () => superseded,
  });
  const isLeaving = () =>
    shell.isDraining || engine?.watch.state.leaving === true;
  const loadReport = (): LoadReport => ({
    resident: engine?.slots.resident() ?? [],
    pinned: engine?.slots.pinned(),
    loading: engine?.host.loading,
    running: desk.load,
    waiting: engine?.host.waiting ?? 0,
  });
  const report = (): TargetReport => ({
    name: settings.target,
    customer: settings.customer,
    service: settings.service,
    boot: engine?.watch.state.boot ?? boot,
    healthy: engine?.watch.state.healthy ?? service.healthy,
    slots: engine?.slots.size ?? 0,
    batchLimit: engine?.watch.state.batchLimit ?? settings.batchLimit,
    fence,
    load: loadReport(),
  });
  const url = await shell.serve({
    fallback: (request, response) => void desk.handle(request, response),
    checkContinue: (request, response) =>
      void desk.handle(request, response, true),
    revision: () => follower.settings.revision,
    settings: revision => follower.deltaAfter(revision),
    facts: () => {
      const {running, waiting, resident} = loadReport();
      return {
        target: settings.target,
        running,
        waiting,
        healthy: report().healthy,
        resident: resident.join(' '),
      };
    },
    drain,
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'agent',
    zone: settings.zone,
    boot,
    url,
    revision: follower.settings.revision,
    leaving: isLeaving(),
    target: report(),
  });
  const heartbeat = startHeartbeat(client, member, answer => {
    engine?.keeper.answered(answer);
    if (answer.result.isOk) {
      follower.observeRevision(answer.result.value.revision);
    } else if (answer.result.error.code === 'FENCED' && !superseded) {
      superseded = true;
      events.record('orders-held', {revoked: true});
    }
  });
  engine?.keeper.use(heartbeat);
  announce = () => void heartbeat.sendNow();
  events.record('process-started', {url, boot});
  return {
    async stop() {
      shell.beginDrain();
      // A heartbeat that is on its way may not say yet that the process leaves.
      await heartbeat.sendNow();
      await heartbeat.sendNow();
      await pause(settings.settleMs);
      desk.close();
      const deadline = performance.now() + settings.drainMs;
      while (desk.load > 0 && performance.now() < deadline) {
        await pause(DRAIN_POLL_MS);
      }
      heartbeat.stop();
      engine?.watch.stop();
      engine?.cacheFollower.stop();
      service.stop();
      await follower.stop();
      client.close();
      shell.stop();
    },
  };
}
