import {setMaxListeners} from 'node:events';
import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {AdmissionController} from '@marigoldspur/admission';
import {openCallerAuthenticator} from '@marigoldspur/caller-authentication';
import {CallerServer} from '@marigoldspur/caller-server';
import {
  ControlClient,
  HeartbeatRelay,
  LoadReportServer,
  MemberFollower,
  RegionLoadFollower,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {
  AttemptClient,
  PrefixHints,
  TargetDirectory,
  TargetHealthMonitor,
} from '@marigoldspur/dispatch';
import {CallDurations, DrainAdmission} from '@marigoldspur/drain-admission';
import {LoadReportStore} from '@marigoldspur/membership';
import {
  LOAD_REPORTS_PATH,
  HEARTBEAT_RELAY_PATH,
  type Member,
} from '@marigoldspur/messages';
import {startLoopClock} from '@marigoldspur/loop-clock';
import type {Task} from '@marigoldspur/process-lifecycle';
import {ProcessRuntime} from '@marigoldspur/process-runtime';
import {ClaimClient} from './claim-client.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {ResponseSender} from './response-sender.js';
import {AttemptRunner} from './attempt-runner.js';
import {openCallerTls} from './caller-tls.js';
import {IdempotentRunner} from './idempotent-runner.js';
import {SettingsConfirmationTracker} from './settings-confirmation-tracker.js';
import {RequestHandler} from './request-handler.js';
import {RequestReader} from './request-reader.js';
import {RetryBudget} from '@marigoldspur/retries';

const STATUS_NOT_FOUND = 404;
const START_TIMEOUT_MS = 60_000;
/**
 * Time for completions of claims to reach control at a shutdown, in
 * milliseconds.
 */
const COMPLETIONS_TIMEOUT_MS = 10_000;

/** Time reserved for the responses to requests that are given up, in milliseconds. */
const ANSWER_MARGIN_MS = 200;

/**
 * Starts an entry that sends requests to the agents beside targets; `drain` asks
 * the process to shut down gracefully.
 */
export async function startEntry(
  settings: EntrySettings,
  drain: () => void,
): Promise<Task> {
  const runtime = await ProcessRuntime.open('entry', settings);
  const {boot, events, security} = runtime;
  const controlClient = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const settingsFollower = new SettingsFollower(controlClient, events);
  await settingsFollower.start(performance.now() + START_TIMEOUT_MS);
  const memberFollower = new MemberFollower(controlClient);
  memberFollower.start();
  const regionLoads = new RegionLoadFollower({
    members: () => memberFollower.members(),
    region: settings.region,
    agent: security.createAgent(),
  });
  regionLoads.start();
  const entryMetrics = new EntryMetrics(runtime.metrics.registry);
  const authenticator = await openCallerAuthenticator({
    file: settings.callerKeys,
    host: settings.host,
    events,
  });
  const callerTls = await openCallerTls(settings, events);
  const httpAgent = security.createAgent();
  const healthMonitor = new TargetHealthMonitor({agent: httpAgent, events});
  const prefixHints = new PrefixHints();
  const attemptClient = new AttemptClient({
    agent: httpAgent,
    health: healthMonitor,
    onPrefixChanges: (target, changes) =>
      prefixHints.applyChanges(target, changes, performance.now()),
    onRevision: (revision, url) =>
      settingsFollower.observeRevision(revision, url),
  });
  const claimClient = new ClaimClient({
    client: controlClient,
    events,
    entry: settings.id,
    boot,
    random: Math.random,
  });
  let acceptsRequests = true;
  const shutdown = new AbortController();
  // Each running request listens to it.
  setMaxListeners(0, shutdown.signal);
  const durations = new CallDurations();
  const drainAdmission = new DrainAdmission(durations);
  const runner = new AttemptRunner({
    directory: new TargetDirectory(
      () => memberFollower.members(),
      settings.zone,
      healthMonitor,
      regionLoads,
      prefixHints,
    ),
    attemptClient,
    responseSender: new ResponseSender({events, metrics: entryMetrics}),
    retryBudget: new RetryBudget(),
    drainAdmission,
    durations,
    events,
    metrics: entryMetrics,
    origin: () => url,
    random: Math.random,
  });
  const confirmations = new SettingsConfirmationTracker(settingsFollower);
  const requestHandler = new RequestHandler({
    settingsFollower,
    authenticator,
    confirmations,
    reader: new RequestReader({
      settingsFollower,
      authenticator,
      maxBodyBytes: settings.maxBodyBytes,
      maxHeldBytes: settings.maxHeldBytes,
      acceptsRequests: () => acceptsRequests,
      shutdownSignal: shutdown.signal,
    }),
    admission: new AdmissionController({
      maxRunning: settings.maxRunning,
      random: Math.random,
    }),
    runner,
    idempotentRunner: new IdempotentRunner({
      claimClient,
      runner,
      shutdownSignal: shutdown.signal,
      events,
    }),
    shutdownSignal: shutdown.signal,
    events,
    metrics: entryMetrics,
  });
  const loopClock = startLoopClock();
  const callerServer = new CallerServer({
    handle: (request, response, arrivedAt) =>
      requestHandler.handle(request, response, arrivedAt),
    onFault: ({message}) => events.record('request-error', {message}),
    isDraining: () => runtime.isDraining,
    createServer: (options, handler) =>
      callerTls.createServer(options, handler),
    readinessPath: '/readyz',
    clock: loopClock.clock,
  });
  const loadReports = new LoadReportStore();
  const loadReportServer = new LoadReportServer(loadReports);
  const heartbeatRelay = new HeartbeatRelay(
    controlClient,
    {id: settings.id, boot, zone: settings.zone},
    loadReports,
  );
  const url = runtime.serve({
    fallback: createRelayHandler(heartbeatRelay, loadReportServer),
    revision: () => settingsFollower.settings.revision,
    settings: revision => settingsFollower.deltaAfter(revision),
    facts: () => ({
      running: requestHandler.runningCount,
      members: memberFollower.members().length,
      targets: memberFollower.members().filter(isHealthyTarget).length,
      reported: memberFollower
        .members()
        .filter(each => regionLoads.loadOf(each)).length,
    }),
    drain,
  });
  // Callers come last: a signal ends a process that has not started without a drain.
  const callerAddress = await runtime.listen(callerServer.server, {
    host: settings.host,
    port: settings.callerPort,
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'entry',
    zone: settings.zone,
    region: settings.region,
    boot,
    url,
    revision: settingsFollower.settings.revision,
    leaving: runtime.isDraining,
  });
  const heartbeat = startHeartbeat(
    controlClient,
    member,
    ({result, sentAt}) => {
      if (result.isOk) {
        confirmations.recordRevision(result.value.revision, sentAt);
        settingsFollower.observeRevision(result.value.revision);
      }
    },
  );
  events.record('process-started', {
    url,
    callers: `http://${callerAddress.host}:${callerAddress.port}`,
    boot,
  });
  return {
    async stop() {
      const {drainMs, settleMs} = settings;
      const answerMs = Math.min(ANSWER_MARGIN_MS, drainMs / 2);
      runtime.beginDrain();
      const endAt = performance.now() + settleMs + drainMs;
      drainAdmission.begin(endAt - answerMs);
      await pause(settleMs);
      acceptsRequests = false;
      const closed = callerServer.close();
      await Promise.race([closed, pause(drainMs - answerMs)]);
      shutdown.abort();
      await Promise.race([closed, pause(answerMs)]);
      if (requestHandler.runningCount > 0) {
        events.record('shutdown-bound-reached', {
          running: requestHandler.runningCount,
        });
      }
      await claimClient.waitForCompletions(COMPLETIONS_TIMEOUT_MS);
      heartbeat.stop();
      heartbeatRelay.stop();
      loadReportServer.stop();
      regionLoads.stop();
      await Promise.all([memberFollower.stop(), settingsFollower.stop()]);
      healthMonitor.stop();
      attemptClient.close();
      controlClient.close();
      authenticator.stop();
      callerTls.stop();
      loopClock.stop();
      runtime.stop();
    },
  };
}

function isHealthyTarget(member: Member): boolean {
  return member.target?.healthy === true;
}

/** Handles only the paths of the heartbeat relay and its load reports. */
function createRelayHandler(relay: HeartbeatRelay, reports: LoadReportServer) {
  return (request: http.IncomingMessage, response: http.ServerResponse) => {
    const {method, url} = request;
    if (method === 'POST' && url === HEARTBEAT_RELAY_PATH) {
      relay.handle(request, response);
    } else if (method === 'GET' && url === LOAD_REPORTS_PATH) {
      reports.handle(request, response);
    } else {
      response.statusCode = STATUS_NOT_FOUND;
      response.end('not found\n');
    }
  };
}
