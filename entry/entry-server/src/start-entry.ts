import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {AdmissionController} from '@marigoldspur/admission';
import {openCallerAuthenticator} from '@marigoldspur/caller-keys';
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
import {listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import {
  LOAD_REPORTS_PATH,
  HEARTBEAT_RELAY_PATH,
  type Member,
} from '@marigoldspur/messages';
import type {Task} from '@marigoldspur/process-life';
import {ProcessRuntime} from '@marigoldspur/process-shell';
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

const HTTP_NOT_FOUND = 404;
const START_TIMEOUT_MS = 60_000;
/** Time that the ends of claimed requests get to reach control at a shutdown. */
const COMPLETIONS_MS = 10_000;

/** Starts an entry. */
export async function startEntry(
  settings: EntrySettings,
  drain: () => void,
): Promise<Task> {
  const shell = await ProcessRuntime.open('entry', settings);
  const {boot, events, security} = shell;
  const client = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const follower = new SettingsFollower(client, events);
  await follower.start(performance.now() + START_TIMEOUT_MS);
  const members = new MemberFollower(client);
  members.start();
  const loads = new RegionLoadFollower({
    members: () => members.members(),
    region: settings.region,
    agent: security.createAgent(),
  });
  loads.start();
  const entryMetrics = new EntryMetrics(shell.metrics.registry);
  const keys = await openCallerAuthenticator({
    file: settings.callerKeys,
    host: settings.host,
    events,
  });
  const callerTls = await openCallerTls(settings, events);
  const linkAgent = security.createAgent();
  const health = new TargetHealthMonitor({agent: linkAgent, events});
  const hints = new PrefixHints();
  const attempts = new AttemptClient({
    agent: linkAgent,
    health,
    onPrefixChanges: (target, changes) =>
      hints.applyChanges(target, changes, performance.now()),
    onRevision: (revision, url) => follower.observeRevision(revision, url),
  });
  const claims = new ClaimClient({
    client,
    events,
    entry: settings.id,
    boot,
    random: Math.random,
  });
  const runner = new AttemptRunner({
    directory: new TargetDirectory(
      () => members.members(),
      settings.zone,
      health,
      loads,
      hints,
    ),
    attemptClient: attempts,
    responseSender: new ResponseSender({events, metrics: entryMetrics}),
    retryBudget: new RetryBudget(),
    events,
    metrics: entryMetrics,
    origin: () => url,
    random: Math.random,
  });
  const contact = new SettingsConfirmationTracker(follower);
  const desk = new RequestHandler({
    settings: follower,
    authenticator: keys,
    confirmations: contact,
    reader: new RequestReader({
      settings: follower,
      authenticator: keys,
      maxBodyBytes: settings.maxBodyBytes,
      maxHeldBytes: settings.maxHeldBytes,
    }),
    admission: new AdmissionController({
      maxRunning: settings.maxRunning,
      random: Math.random,
    }),
    runner,
    idempotentRunner: new IdempotentRunner({
      claimClient: claims,
      runner,
      events,
    }),
    events,
    metrics: entryMetrics,
  });
  const callers = new CallerServer({
    handle: (request, response) => desk.handle(request, response),
    isDraining: () => shell.isDraining,
    createServer: (options, handler) =>
      callerTls.createServer(options, handler),
    readinessPath: '/readyz',
  });
  const callerAddress = await listen(callers.server, {
    host: settings.host,
    port: settings.callerPort,
  });
  const board = new LoadReportStore();
  const reports = new LoadReportServer(board);
  const relay = new HeartbeatRelay(
    client,
    {id: settings.id, boot, zone: settings.zone},
    board,
  );
  const url = await shell.serve({
    fallback: relayOnly(relay, reports),
    revision: () => follower.settings.revision,
    settings: revision => follower.deltaAfter(revision),
    facts: () => ({
      running: desk.runningCount,
      members: members.members().length,
      targets: members.members().filter(isHealthyTarget).length,
      reported: members.members().filter(each => loads.loadOf(each)).length,
    }),
    drain,
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'entry',
    zone: settings.zone,
    region: settings.region,
    boot,
    url,
    revision: follower.settings.revision,
    leaving: shell.isDraining,
  });
  const heartbeat = startHeartbeat(client, member, ({result, sentAt}) => {
    if (result.isOk) {
      contact.recordRevision(result.value.revision, sentAt);
      follower.observeRevision(result.value.revision);
    }
  });
  events.record('process-started', {
    url,
    callers: `http://${callerAddress.host}:${callerAddress.port}`,
    boot,
  });
  return {
    async stop() {
      shell.beginDrain();
      await pause(settings.settleMs);
      await Promise.race([callers.close(), pause(settings.drainMs)]);
      if (desk.runningCount > 0) {
        events.record('shutdown-bound-reached', {running: desk.runningCount});
      }
      await claims.waitForCompletions(COMPLETIONS_MS);
      heartbeat.stop();
      relay.stop();
      reports.stop();
      loads.stop();
      await Promise.all([members.stop(), follower.stop()]);
      health.stop();
      attempts.close();
      client.close();
      keys.stop();
      callerTls.stop();
      shell.stop();
    },
  };
}

function isHealthyTarget(member: Member): boolean {
  return member.target?.healthy === true;
}

/** Serves the paths of a relay alone. */
function relayOnly(relay: HeartbeatRelay, reports: LoadReportServer) {
  return (request: http.IncomingMessage, response: http.ServerResponse) => {
    const {method, url} = request;
    if (method === 'POST' && url === HEARTBEAT_RELAY_PATH) {
      relay.handle(request, response);
    } else if (method === 'GET' && url === LOAD_REPORTS_PATH) {
      reports.handle(request, response);
    } else {
      response.statusCode = HTTP_NOT_FOUND;
      response.end('not found\n');
    }
  };
}
