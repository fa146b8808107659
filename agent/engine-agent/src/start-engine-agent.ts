import {
  ENGINE_VIEW_PATH,
  PREPARE_PATH,
  ADAPTER_USAGE_PATH,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {LinkSettings} from '@marigoldspur/link-security';
import type {Task} from '@marigoldspur/process-lifecycle';
import {ProcessRuntime} from '@marigoldspur/process-runtime';
import {AdapterManager} from './adapter-manager.js';
import {FenceClient} from './fence-client.js';
import type {ManagedEngine} from './managed-engine.js';
import {createPrepareHandler, createUsageHandler} from './prepare-handler.js';
import {ViewStreams} from './view-streams.js';

/**
 * Settings of an agent for an engine that receives calls directly from the
 * entries.
 */
export interface EngineAgentSettings extends LinkSettings {
  /** Name of the process, stable across restarts. */
  readonly id: string;
  readonly zone: string;
  /** Port for other processes and operators. */
  readonly port: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Base URLs of replicas of control. */
  readonly control: readonly string[];
  /** Name of the engine in requests for fencing numbers. */
  readonly target: string;
}

/** A running agent. */
export interface EngineAgent extends Task {
  readonly events: EventLog;
  /** Replaces the base URLs of the replicas of control. */
  setSeedUrls(urls: readonly string[]): void;
}

/**
 * Starts an agent for an engine that receives calls directly from the entries.
 */
export async function startEngineAgent(
  settings: EngineAgentSettings,
  engine: ManagedEngine,
  drain: () => void,
): Promise<EngineAgent> {
  const runtime = await ProcessRuntime.open('agent', settings);
  const {events, security} = runtime;
  const fenceClient = new FenceClient({
    target: settings.target,
    control: settings.control,
    agent: security.createAgent(),
    events,
  });
  const viewStreams = new ViewStreams();
  const manager = new AdapterManager({
    engine,
    events,
    fence: () => fenceClient.fence,
    renewFence: () => fenceClient.renew(),
    onView: view => viewStreams.publish(view, performance.now()),
  });
  fenceClient.renew();
  manager.start();
  const url = runtime.serve({
    paths: new Map([
      [
        ENGINE_VIEW_PATH,
        (request, response) => viewStreams.handle(request, response),
      ],
      [PREPARE_PATH, createPrepareHandler(manager, runtime)],
      [ADAPTER_USAGE_PATH, createUsageHandler(manager, runtime)],
    ]),
    revision: () => 0,
    facts: () => ({fence: fenceClient.fence ?? 0}),
    drain,
  });
  events.record('process-started', {url});
  return {
    events,
    setSeedUrls: urls => fenceClient.setSeedUrls(urls),
    async stop() {
      runtime.beginDrain();
      fenceClient.stop();
      viewStreams.stop();
      await manager.stop();
      runtime.stop();
    },
  };
}
