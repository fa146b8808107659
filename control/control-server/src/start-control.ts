import path from 'node:path';
import {
  createControlRouter,
  createHeartbeatHandler,
} from '@marigoldspur/control-api';
import {readClock} from '@marigoldspur/clock-readings';
import {PermitManager} from '@marigoldspur/load-permits';
import type {Task} from '@marigoldspur/process-lifecycle';
import {ProcessRuntime} from '@marigoldspur/process-runtime';
import {openReplicatedLog} from '@marigoldspur/replicated-log';
import {
  CRASH_RECORDS_PATH,
  DEPLOYMENT_CONFIRMATION_PATH,
  DEPLOYMENT_TRANSFER_PATH,
  STREAM_ORIGIN_LOOKUP_PATH,
  TARGET_LEAVES_PATH,
  STREAM_ORIGINS_PATH,
  FENCES_PATH,
  FLEET_PATH,
  QUOTA_GRANTS_PATH,
  REQUEST_LIMITS_PATH,
  REQUEST_PERMITS_PATH,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {
  FleetManager,
  QuotaGranter,
  QuotaGrantMetrics,
  type QuotaSupport,
} from '@marigoldspur/fleet';
import {HEARTBEAT_BATCH_PATH, HEARTBEAT_PATH} from '@marigoldspur/messages';
import type {MemoryBudget} from '@marigoldspur/memory-budget';
import type {ProcessMetrics} from '@marigoldspur/metrics';
import {CommandForwarder, COMMANDS_PATH} from './command-forwarder.js';
import {ControlRequestHandler} from './control-request-handler.js';
import {ControlStateMachine} from './control-state-machine.js';
import type {ControlSettings} from './control-settings.js';
import {createCrashRecordHandler} from './crash-record-handler.js';
import {createTargetLeaveHandler} from './target-leave-handler.js';
import {
  createStreamOriginHandler,
  createStreamOriginLookupHandler,
} from './stream-origin-handlers.js';
import {
  createLimitHandler,
  createPermitHandler,
} from './request-limit-handlers.js';
import {createDeploymentConfirmationHandler} from './deployment-confirmation-handler.js';
import {createDeploymentTransferHandler} from './deployment-transfer-handler.js';
import {createFenceHandler} from './fence-handler.js';
import {createQuotaGrantHandler} from './quota-grant-handler.js';
import {findStorePolicy} from './store-policy.js';

const LEASE_CHECK_INTERVAL_MS = 200;
const DISK_FAILURE_EXIT_CODE = 3;

/** Parts of a replica of control that an extension has access to. */
export interface ControlExtensionContext {
  readonly fleet: FleetManager;
  readonly events: EventLog;
  readonly metrics: ProcessMetrics;
  /** Lets a server listen as soon as its address is free. */
  readonly listen: ProcessRuntime['listen'];
  readonly memory: MemoryBudget;
  /** Returns the number of connections for which the interface has memory; undefined without a limit. */
  readonly maxConnections: (maxHeaderBytes: number) => number | undefined;
  /** Returns what records that a limit closes connections of a listener. */
  readonly recordClosed: ProcessRuntime['recordClosed'];
  /** Replaces the base URLs from which the replicas of control are discovered. */
  readonly setSeedUrls: (urls: readonly string[]) => void;
}

/** Opens an additional interface to a replica of control. */
export type ControlExtension = (
  context: ControlExtensionContext,
) => Promise<Task>;

/**
 * Starts a replica of control, with an additional interface if an extension is given. It grants
 * quotas of tenants if it can read them.
 */
export async function startControl(
  settings: ControlSettings,
  drain: () => void,
  extension?: ControlExtension,
  quotas?: QuotaSupport,
): Promise<Task> {
  const runtime = await ProcessRuntime.open('control', settings);
  const {boot, events, security} = runtime;
  const machine = new ControlStateMachine();
  const {log, router, paths} = await openReplicatedLog(machine, {
    folder: path.join(settings.dataFolder, 'log'),
    url: settings.advertisedUrl ?? ownUrl(settings, security.scheme),
    peers: settings.peers,
    desiredVoters: settings.desiredVoters,
    bootstrap: settings.bootstrap,
    electionTimeoutMs: settings.electionTimeoutMs,
    heartbeatMs: settings.heartbeatMs,
    proposeTimeoutMs: settings.proposeTimeoutMs,
    snapshotEntries: settings.snapshotEntries,
    snapshotBytes: settings.snapshotBytes,
    events,
    agent: security.createAgent(),
    onFatal: () => process.exit(DISK_FAILURE_EXIT_CODE),
  });
  const permits = new PermitManager({
    loadsAtOnce: settings.loadsAtOnce,
    validMs: settings.permitValidMs,
    policyOf: store => findStorePolicy(machine.settings.tree, store),
  });
  const requestHandler = new ControlRequestHandler({
    id: settings.id,
    boot,
    leaseMs: settings.leaseMs,
    machine,
    log,
    permits,
    events,
  });
  const heartbeats = createHeartbeatHandler(requestHandler, runtime);
  const commands = new CommandForwarder({log, agent: security.createAgent()});
  const fleet = new FleetManager({
    deployments: machine.deployments,
    log,
    commands,
    memory: runtime.memory,
    events,
  });
  const granter =
    quotas &&
    new QuotaGranter({
      ...quotas,
      deployments: machine.deployments,
      log,
      clock: readClock,
      events,
      metrics: new QuotaGrantMetrics(runtime.metrics.registry),
    });
  machine.onDeploymentChange(() => {
    fleet.handleDeploymentChange();
    granter?.handleDeploymentChange();
  });
  const url = runtime.serve({
    routers: {control: createControlRouter(requestHandler), log: router},
    paths: new Map([
      ...paths,
      [HEARTBEAT_PATH, heartbeats],
      [HEARTBEAT_BATCH_PATH, heartbeats],
      [COMMANDS_PATH, commands.createHandler(runtime)],
      [
        DEPLOYMENT_TRANSFER_PATH,
        createDeploymentTransferHandler(fleet, runtime),
      ],
      [
        DEPLOYMENT_CONFIRMATION_PATH,
        createDeploymentConfirmationHandler(fleet, runtime),
      ],
      [FENCES_PATH, createFenceHandler(commands, runtime)],
      [CRASH_RECORDS_PATH, createCrashRecordHandler(fleet, runtime)],
      [TARGET_LEAVES_PATH, createTargetLeaveHandler(fleet, runtime)],
      [STREAM_ORIGINS_PATH, createStreamOriginHandler(fleet, runtime)],
      [
        STREAM_ORIGIN_LOOKUP_PATH,
        createStreamOriginLookupHandler(fleet, runtime),
      ],
      [REQUEST_LIMITS_PATH, createLimitHandler(fleet, runtime)],
      [REQUEST_PERMITS_PATH, createPermitHandler(fleet, runtime)],
      ...(granter === undefined
        ? []
        : [
            [
              QUOTA_GRANTS_PATH,
              createQuotaGrantHandler(granter, runtime),
            ] as const,
          ]),
      [
        FLEET_PATH,
        (request, response) => fleet.streamServer.handle(request, response),
      ],
    ]),
    revision: () => machine.settings.revision,
    isReady: () => log.isReady(),
    facts: () => {
      const {role, term, commitIndex} = requestHandler.status();
      const claims = machine.claims.size;
      return {
        log: role,
        term,
        commitIndex,
        claims,
        members: requestHandler.memberCount,
      };
    },
    drain,
  });
  const leaseTimer = setInterval(
    () => requestHandler.checkLeases(performance.now()),
    LEASE_CHECK_INTERVAL_MS,
  );
  const extensionTask = await extension?.({
    fleet,
    events,
    metrics: runtime.metrics,
    listen: (server, address) => runtime.listen(server, address),
    memory: runtime.memory,
    maxConnections: bytes => runtime.maxConnections(bytes),
    recordClosed: listener => runtime.recordClosed(listener),
    setSeedUrls: urls => log.setSeedUrls(urls),
  });
  events.record('process-started', {url, boot});
  return {
    async stop() {
      runtime.beginDrain();
      clearInterval(leaseTimer);
      await extensionTask?.stop();
      granter?.stop();
      fleet.stop();
      await log.stop();
      runtime.stop();
    },
  };
}

function ownUrl(settings: ControlSettings, scheme: string): string {
  return `${scheme}://${settings.host}:${settings.port}`;
}
