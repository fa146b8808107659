import {setMaxListeners} from 'node:events';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {CallerServer} from '@marigoldspur/caller-server';
import {startTenantGate} from '@marigoldspur/caller-tenants';
import {
  ConnectionGuard,
  type CloseReason,
} from '@marigoldspur/connection-guard';
import {
  createCrashRecords,
  type Deployment,
  type EngineView,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import {CallDurations, DrainAdmission} from '@marigoldspur/drain-admission';
import {TenantQuotas} from '@marigoldspur/entry-quotas';
import type {EventLog} from '@marigoldspur/event-log';
import {FleetFollower} from '@marigoldspur/fleet-client';
import type {FleetChange, FleetView} from '@marigoldspur/fleet-view';
import type {Address} from '@marigoldspur/http-link';
import {BodyReader} from '@marigoldspur/request-bodies';
import {startLoopClock} from '@marigoldspur/loop-clock';
import type {Task} from '@marigoldspur/process-lifecycle';
import {RefusalSpell} from '@marigoldspur/memory-budget';
import {ProcessRuntime} from '@marigoldspur/process-runtime';
import type {RouteTable} from '@marigoldspur/routes';
import {askStart, StartConfirmer} from '@marigoldspur/target-starts';
import {AdapterAgentClient} from './adapter-agent-client.js';
import {AdapterPreparer} from './adapter-preparer.js';
import {AttemptSender} from './attempt-sender.js';
import {CrashMonitor, type EngineFate} from './crash-monitor.js';
import {CrashRecordClient} from './crash-record-client.js';
import {connectTo, CrashWitness} from './crash-witness.js';
import {RequestCrashMonitor} from './request-crash-monitor.js';
import {CallHandler} from './call-handler.js';
import {CallRunner} from './call-runner.js';
import type {WireFormat} from './wire-format.js';
import {DirectRoutingMetrics} from './direct-routing-metrics.js';
import type {DirectRoutingSettings} from './direct-routing-settings.js';
import {EngineViewClient} from './engine-view-client.js';
import {incarnationOf} from './incarnation.js';
import {ActiveRoutes} from './active-routes.js';
import {PermitClient} from './permit-client.js';
import {RetryLimiter} from './retry-limiter.js';
import {TargetSelector} from './target-selector.js';
import {TargetClient} from './target-client.js';
import {TargetFinder} from './target-finder.js';
import {StreamOriginClient} from './stream-origin-client.js';
import {StreamOrigins} from './stream-origins.js';
import {TargetLeaveClient} from './target-leave-client.js';
import {TargetLimits} from './target-limits.js';
import {WithdrawalRecorder} from './withdrawal-recorder.js';

/** A running entry that routes calls directly to targets. */
export interface DirectRouter extends Task {
  readonly events: EventLog;
  /**
   * Replaces the base URLs from which the replicas of control are discovered.
   */
  setSeedUrls(urls: readonly string[]): void;
}

/** Limits for callers until a deployment states its own. */
const INITIAL_LIMITS = {
  headersTimeoutMs: 3_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 15_000,
};
/**
 * Maximum size of a request's headers until a deployment states a limit, in
 * bytes.
 */
const INITIAL_MAX_HEADER_BYTES = 65_536;
/**
 * Time for the balancer to stop sending calls, in milliseconds. It checks
 * readiness every second and removes an entry after two failed checks.
 */
const BALANCER_SETTLE_MS = 2_500;
/** Share of the memory for connections that those of callers may take. */
const CALLER_CONNECTION_SHARE = 0.8;
/** Time reserved for the process to end by itself, in milliseconds. */
const SHUTDOWN_MARGIN_MS = 400;
/** Time reserved for the responses to calls that are given up, in milliseconds. */
const ANSWER_MARGIN_MS = 200;

/**
 * Starts an entry that sends calls directly to targets; `drain` asks the process
 * to shut down gracefully.
 */
export async function startDirectRouter(
  settings: DirectRoutingSettings,
  wireFormat: WireFormat,
  drain: () => void,
): Promise<DirectRouter> {
  const runtime = await ProcessRuntime.open('entry', settings);
  const {events, security} = runtime;
  const activeRoutes = new ActiveRoutes(wireFormat, events);
  const httpAgent = security.createAgent();
  const withdrawals = new WithdrawalRecorder(events);
  const onChange = (change: FleetChange) => {
    activeRoutes.applyChange(change, fleetFollower.view);
    if (activeRoutes.table !== undefined) {
      callerServer.setLimits(limitsOf(activeRoutes.table.deployment));
    }
    if (change.hasNewDeployment) {
      tenants.handleDeployment();
    }
    if (change.hasChangedTargets) {
      withdrawals.update(fleetFollower.view.targets());
      streamOrigins.recordTargets(
        fleetFollower.view.targets(),
        performance.now(),
      );
    }
    if (change.hasChangedTargets || change.hasNewDeployment) {
      engineViews.follow(
        engineAddresses(activeRoutes.table, fleetFollower.view),
      );
      selector.removeUnknownTargets();
      targetLimits.retain(fleetFollower.view.targets());
      crashMonitor.checkEngines(performance.now());
    }
  };
  const fleetFollower = new FleetFollower({
    seeds: settings.control,
    agent: httpAgent,
    events,
    onChange,
    onCrashRecords: (replica, records, areAll) => {
      const now = performance.now();
      requestCrashes.addRecords(records, now);
      crashMonitor.addRecords(records, now);
      if (areAll) {
        crashRecordClient.send(replica, {
          ...crashMonitor.recordsMissingIn(records, now),
          ...requestCrashes.recordsMissingIn(records, now),
        });
      }
    },
    onSoftwareVersions: (replica, versions, isComplete) => {
      const now = performance.now();
      streamOrigins.recordReplica(replica, versions, isComplete, now);
      targetLeaveClient.send(replica, fleetFollower.view.leavingTargets());
    },
    onLimits: (replica, limits, areAll) => {
      const now = performance.now();
      targetLimits.addLimits(limits, now);
      if (areAll) {
        const targets = fleetFollower.view.targets();
        permitClient.sendLimits(replica, targetLimits.limits(targets, now));
      }
    },
    onReceived: (replica, bytes) => metrics.recordFleetBytes(replica, bytes),
  });
  const agentUrl = (address: string) =>
    `${security.scheme}://${address.split(':')[0]}:${settings.agentPort}`;
  const engineViews = new EngineViewClient({
    agent: httpAgent,
    agentUrl,
    onView: (address, view) => {
      selector.recordEngineView(address, view);
      withdrawReported(address, view);
      if (!view.answers) {
        crashMonitor.checkEngines(performance.now());
      }
    },
  });
  const agentClient = new AdapterAgentClient({
    entry: settings.id,
    agent: httpAgent,
    agentUrl,
  });
  const targetClient = new TargetClient(wireFormat);
  const metrics = new DirectRoutingMetrics(runtime.metrics.registry);
  const permitClient = new PermitClient({
    agent: httpAgent,
    replicas: () => fleetFollower.urls(),
    events,
  });
  const targetLimits = new TargetLimits({permitClient, events, metrics});
  const targetLeaveClient = new TargetLeaveClient({
    agent: httpAgent,
    replicas: () => fleetFollower.urls(),
    events,
  });
  const withdrawReported = (address: string, {leaving}: EngineView) => {
    fleetFollower.view
      .targets()
      .filter(target => target.address === address && target.id === leaving)
      .forEach(target => withdrawLeaving(target));
  };
  const withdrawLeaving = ({bornAt, id}: TargetAnnouncement) => {
    if (fleetFollower.view.recordLeave({bornAt, id})) {
      withdrawals.update(fleetFollower.view.targets());
      targetLeaveClient.broadcast([{bornAt, id}]);
    }
  };
  const streamOriginClient: StreamOriginClient = new StreamOriginClient({
    agent: httpAgent,
    replicas: () => fleetFollower.urls(),
    recent: () => streamOrigins.sharedOrigins(performance.now()),
    events,
  });
  const streamOrigins = new StreamOrigins(
    {
      client: streamOriginClient,
      versionOf: target => selector.softwareVersionOf(target),
      recordedVersions: () =>
        fleetFollower.isFollowingMajority
          ? fleetFollower.recordedVersions
          : undefined,
      startConfirmer: new StartConfirmer({
        askStart: address => askStart(address, wireFormat.startQuestion),
      }),
      unfollowedMs: now => fleetFollower.unfollowedMs(now),
      events,
    },
    performance.now(),
  );
  const crashRecordClient = new CrashRecordClient({
    agent: httpAgent,
    replicas: () => fleetFollower.urls(),
    events,
  });
  const crashWitness = new CrashWitness({
    connect: connectTo,
    onEnded: () => crashMonitor.checkEngines(performance.now()),
  });
  const requestCrashes = new RequestCrashMonitor({
    entry: settings.id,
    broadcast: records =>
      crashRecordClient.broadcast({...createCrashRecords(), ...records}),
    onChanged: () => crashMonitor.updateBlames(performance.now()),
    onBlocked: () => sender.cancelBlocked(),
    events,
    metrics,
  });
  const crashMonitor = new CrashMonitor({
    entry: settings.id,
    fateOf: target =>
      fateOf(target, fleetFollower.view, engineViews, crashWitness),
    causes: () => requestCrashes.causes,
    onCrashes: (calls, now) => requestCrashes.recordCrashes(calls, now),
    broadcast: records =>
      crashRecordClient.broadcast({...createCrashRecords(), ...records}),
    onBlocked: () => sender.cancelBlocked(),
    events,
    metrics,
  });
  const selector = new TargetSelector({
    zone: settings.zone,
    targets: () => fleetFollower.view.targets(),
    engineView: address => engineViews.viewOf(address),
    random: Math.random,
    requiresStatedPace: true,
    onFirstEvent: (service, expectedMs, observedMs) =>
      metrics.recordFirstEvent(service, expectedMs, observedMs),
    onSlowTarget: ({id, service}, factor) => {
      const details = {target: id, service, factor: factor.toFixed(1)};
      events.record('target-slow', details);
    },
  });
  const finder = new TargetFinder({
    fleetView: fleetFollower.view,
    selector,
    adapterPreparer: new AdapterPreparer({
      selector,
      agentClient,
      events,
      metrics,
      isAgentReachable: (address, now) =>
        engineViews.isAgentReachable(address, now),
      engineView: address => engineViews.viewOf(address),
    }),
    crashMonitor,
    requestCrashes,
    targetLimits,
    random: Math.random,
  });
  const sender = new AttemptSender({
    finder,
    selector,
    targetClient,
    agentClient,
    crashMonitor,
    requestCrashes,
    crashWitness,
    onLeaving: withdrawLeaving,
    streamOrigins,
    targetLimits,
    wireFormat,
    events,
    metrics,
  });
  const tenants = startTenantGate({
    deployment: () => activeRoutes.table?.deployment,
    revokeMs: settings.keyRevocationMs,
    replicas: () => fleetFollower.urls(),
    agent: httpAgent,
    registry: runtime.metrics.registry,
    events,
  });
  const quotas = new TenantQuotas({
    agent: httpAgent,
    replicas: () =>
      fleetFollower.view.replicas.length > 0
        ? fleetFollower.view.replicas
        : fleetFollower.urls(),
    entries: () =>
      fleetFollower.isFollowingMajority
        ? fleetFollower.view.entries
        : undefined,
    tolerance: settings.quotaTolerance,
    events,
    registry: runtime.metrics.registry,
  });
  const loopClock = startLoopClock();
  let acceptsCalls = true;
  const shutdown = new AbortController();
  // Each running call listens to it.
  setMaxListeners(0, shutdown.signal);
  const durations = new CallDurations();
  const drainAdmission = new DrainAdmission(durations);
  const isReady = () =>
    callerServer.server.listening &&
    !runtime.isDraining &&
    fleetFollower.isConfirmed &&
    activeRoutes.table !== undefined;
  const callHandler = new CallHandler({
    routes: () => activeRoutes.table,
    acceptsCalls: () => acceptsCalls,
    shutdownSignal: shutdown.signal,
    wireFormat,
    tenants: tenants.gate,
    bodies: new BodyReader({budget: runtime.memory, kind: 'request-body'}),
    memory: runtime.memory,
    runner: new CallRunner({
      finder,
      sender,
      drainAdmission,
      durations,
      retryLimiter: new RetryLimiter({
        allowance: settings.retries,
        entries: () => fleetFollower.view.entries,
      }),
      streamOrigins,
      quotas,
      events,
      metrics,
    }),
    events,
    metrics,
  });
  const connectionSpell = new RefusalSpell(() =>
    events.record('connections-full', {
      connections: callerServer.maxConnections ?? 0,
    }),
  );
  const recordClosed = runtime.recordClosed('callers');
  const callerServer = new CallerServer({
    handle: (request, response, arrivedAt) =>
      callHandler.handle(request, response, arrivedAt),
    onFault: ({message}) => events.record('request-error', {message}),
    onConnectionClosed: limit => {
      if (limit === 'connections') {
        metrics.recordDroppedConnection();
        connectionSpell.recordRefusal(performance.now());
      } else {
        recordClosed(limit);
      }
    },
    memory: runtime.memory,
    maxRunning: runtime.maxCalls(),
    clock: loopClock.clock,
    isDraining: () => runtime.isDraining,
    createServer: http.createServer,
    limits: {...INITIAL_LIMITS, maxHeaderBytes: INITIAL_MAX_HEADER_BYTES},
    maxConnections: maxHeaderBytes =>
      runtime.maxConnections(maxHeaderBytes, CALLER_CONNECTION_SHARE),
  });
  const url = runtime.serve({
    connectionShare: 1 - CALLER_CONNECTION_SHARE,
    revision: () => activeRoutes.table?.deployment.revision ?? 0,
    isReady,
    facts: () => ({
      running: callHandler.runningCount,
      followed: fleetFollower.followedCount,
      targets: fleetFollower.view.targets().length,
    }),
    drain,
  });
  const readiness = createReadinessServer(
    wireFormat.readinessPath,
    isReady,
    runtime.recordClosed('readiness'),
  );
  await runtime.listen(readiness, parseAddress(settings.readiness));
  // Callers come last: a signal ends a process that has not started without a drain.
  await runtime.listen(callerServer.server, parseAddress(settings.callers));
  events.record('process-started', {url, callers: settings.callers});
  return {
    events,
    setSeedUrls: urls => fleetFollower.setSeedUrls(urls),
    async stop() {
      const endAt = performance.now() + settings.graceMs - SHUTDOWN_MARGIN_MS;
      const answerBy = endAt - ANSWER_MARGIN_MS;
      runtime.beginDrain();
      drainAdmission.begin(answerBy);
      await pause(Math.min(BALANCER_SETTLE_MS, settings.graceMs / 2));
      acceptsCalls = false;
      const closed = callerServer.close();
      await Promise.race([closed, pauseUntil(answerBy)]);
      shutdown.abort();
      await Promise.race([closed, pauseUntil(endAt)]);
      if (callHandler.runningCount > 0) {
        events.record('shutdown-bound-reached', {
          running: callHandler.runningCount,
        });
      }
      quotas.stop();
      fleetFollower.stop();
      tenants.stop();
      engineViews.stop();
      crashMonitor.stop();
      crashWitness.stop();
      streamOriginClient.stop();
      agentClient.stop();
      targetClient.close();
      readiness.close();
      loopClock.stop();
      runtime.stop();
    },
  };
}

/** Resolves at a `performance.now()` time. */
function pauseUntil(time: number): Promise<void> {
  return pause(Math.max(0, time - performance.now()));
}

/** What became of an engine, as control, the agent beside it and its address show. */
function fateOf(
  target: TargetAnnouncement,
  view: FleetView,
  engineViews: EngineViewClient,
  witness: CrashWitness,
): EngineFate {
  const targets = view.targets();
  const incarnation = incarnationOf(target);
  const known = targets.find(each => incarnationOf(each) === incarnation);
  if (known?.leaving === true || view.hasEnded(target)) {
    return 'left';
  }
  const isReplaced = targets.some(
    each =>
      each.address === target.address && incarnationOf(each) !== incarnation,
  );
  const isSilent = engineViews.viewOf(target.address)?.answers === false;
  return known === undefined ||
    isReplaced ||
    isSilent ||
    witness.hasEnded(target)
    ? 'crashed'
    : 'running';
}

function limitsOf({limits}: Deployment) {
  return {
    maxHeaderBytes: limits.maxHeaderBytes,
    headersTimeoutMs: limits.headerTimeoutMs,
    requestTimeoutMs: limits.headerTimeoutMs + limits.idleTimeoutMs,
    idleTimeoutMs: limits.idleTimeoutMs,
  };
}

/** Addresses of the targets that are model engines. */
function engineAddresses(
  routes: RouteTable | undefined,
  view: FleetView,
): ReadonlySet<string> {
  const engines = view
    .targets()
    .filter(({service}) => routes?.findService(service)?.engine !== undefined);
  return new Set(engines.map(({address}) => address));
}

/** Limits on readiness checks; a balancer sends a few small requests a second. */
const READINESS_LIMITS = {
  maxHeaderSize: 8_192,
  headersTimeout: 3_000,
  requestTimeout: 5_000,
  connectionsCheckingInterval: 500,
};
const MAX_READINESS_CONNECTIONS = 16;
const MAX_READINESS_PIPELINED = 8;

function createReadinessServer(
  readinessPath: string,
  isReady: () => boolean,
  onClosed: (limit: CloseReason) => void,
) {
  const guard = new ConnectionGuard({
    maxPipelined: MAX_READINESS_PIPELINED,
    maxConnections: () => MAX_READINESS_CONNECTIONS,
    ignoresBodies: true,
    onClosed,
  });
  const server = http.createServer(
    {...guard.serverOptions, ...READINESS_LIMITS},
    guard.wrap((request, response) => {
      // Many kept connections would leave no room for those of the balancer.
      if (guard.connectionCount > MAX_READINESS_CONNECTIONS / 2) {
        response.setHeader('connection', 'close');
      }
      const isReadinessPath = request.url === readinessPath;
      response.statusCode = isReadinessPath ? (isReady() ? 200 : 503) : 404;
      response.end();
    }),
  );
  guard.watch(server);
  return server;
}

function parseAddress(text: string): Address {
  const [host, port] = text.split(':');
  return {host, port: Number(port)};
}
