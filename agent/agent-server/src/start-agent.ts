import {setTimeout as pause} from 'node:timers/promises';
import type {LoadReport, Member, TargetReport} from '@marigoldspur/messages';
import {
  ControlClient,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import type {Task} from '@marigoldspur/process-lifecycle';
import {findService} from '@marigoldspur/settings-tree';
import {ProcessRuntime} from '@marigoldspur/process-runtime';
import {createAgentMetrics} from './agent-metrics.js';
import type {AgentSettings} from './agent-settings.js';
import {AttemptHandler} from './attempt-handler.js';
import {requestFence} from './request-fence.js';
import {startEngineComponents} from './start-engine-components.js';
import {ServiceMonitor} from './service-monitor.js';

const START_TIMEOUT_MS = 60_000;
const MAX_BODY_BYTES = 67_108_864;
const DRAIN_POLL_MS = 20;

/** Starts the agent for a target. */
export async function startAgent(
  settings: AgentSettings,
  drain: () => void,
): Promise<Task> {
  const runtime = await ProcessRuntime.open('agent', settings);
  const {boot, events, security} = runtime;
  const controlClient = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const settingsFollower = new SettingsFollower(controlClient, events);
  await settingsFollower.start(performance.now() + START_TIMEOUT_MS);
  const metrics = createAgentMetrics(runtime.metrics.registry);
  let announce = () => {};
  const onChange = () => announce();
  const options = {
    controlClient,
    settingsFollower,
    events,
    metrics,
    boot,
    onChange,
  };
  const engine =
    settings.targetKind === 'engine'
      ? await startEngineComponents(settings, options)
      : undefined;
  const fence = engine?.fence ?? (await requestFence(settings, options)).fence;
  let isSuperseded = false;
  const serviceMonitor = new ServiceMonitor({
    url: settings.targetUrl,
    healthPath: () => {
      const {tree} = settingsFollower.settings;
      const found = findService(tree, settings.customer, settings.service);
      return found?.kind === 'plain' ? found.healthPath : undefined;
    },
    onChange,
  });
  if (engine === undefined) {
    serviceMonitor.start(settings.healthIntervalMs);
  }
  const attemptHandler = new AttemptHandler({
    target: settings.target,
    targetUrl: settings.targetUrl,
    customer: settings.customer,
    service: settings.service,
    settings: settingsFollower,
    onRevision: (revision, url) =>
      settingsFollower.observeRevision(revision, url),
    events,
    metrics,
    maxBodyBytes: MAX_BODY_BYTES,
    maxHeldBytes: settings.maxHeldBytes,
    engine,
    isServiceHealthy: () => serviceMonitor.isHealthy,
    isSuperseded: () => isSuperseded,
  });
  const isLeaving = () =>
    runtime.isDraining || engine?.monitor.state.leaving === true;
  const loadReport = (): LoadReport => ({
    resident: engine?.slots.resident() ?? [],
    pinned: engine?.slots.pinned(),
    loading: engine?.loader.loading,
    running: attemptHandler.activeCount,
    waiting: engine?.loader.waiting ?? 0,
  });
  const report = (): TargetReport => ({
    name: settings.target,
    customer: settings.customer,
    service: settings.service,
    boot: engine?.monitor.state.boot ?? boot,
    healthy: engine?.monitor.state.healthy ?? serviceMonitor.isHealthy,
    slots: engine?.slots.size ?? 0,
    batchLimit: engine?.monitor.state.batchLimit ?? settings.batchLimit,
    fence,
    load: loadReport(),
  });
  const url = runtime.serve({
    fallback: (request, response) => attemptHandler.handle(request, response),
    checkContinue: (request, response) =>
      attemptHandler.handle(request, response, true),
    revision: () => settingsFollower.settings.revision,
    settings: revision => settingsFollower.deltaAfter(revision),
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
    revision: settingsFollower.settings.revision,
    leaving: isLeaving(),
    target: report(),
  });
  const heartbeat = startHeartbeat(controlClient, member, answer => {
    engine?.leaseManager.recordAnswer(answer);
    if (answer.result.isOk) {
      settingsFollower.observeRevision(answer.result.value.revision);
    } else if (answer.result.error.code === 'FENCED' && !isSuperseded) {
      isSuperseded = true;
      events.record('orders-held', {revoked: true});
    }
  });
  engine?.leaseManager.setHeartbeat(heartbeat);
  announce = () => void heartbeat.sendNow();
  events.record('process-started', {url, boot});
  return {
    async stop() {
      runtime.beginDrain();
      // A heartbeat that is already in flight may not announce the shutdown, so
      // two are sent.
      await heartbeat.sendNow();
      await heartbeat.sendNow();
      await pause(settings.settleMs);
      attemptHandler.close();
      const deadline = performance.now() + settings.drainMs;
      while (attemptHandler.activeCount > 0 && performance.now() < deadline) {
        await pause(DRAIN_POLL_MS);
      }
      heartbeat.stop();
      engine?.monitor.stop();
      engine?.cacheFollower.stop();
      serviceMonitor.stop();
      await settingsFollower.stop();
      controlClient.close();
      runtime.stop();
    },
  };
}
