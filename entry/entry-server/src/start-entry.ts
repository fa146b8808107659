import type http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {Admission} from '@marigoldspur/admission';
import {openCallerKeys} from '@marigoldspur/caller-keys';
import {CallerServer} from '@marigoldspur/caller-server';
import {
  ControlClient,
  HeartbeatRelay,
  LoadReportServer,
  MemberFollower,
  RegionLoads,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {
  AttemptClient,
  PrefixHints,
  TargetDirectory,
  TargetHealth,
} from '@marigoldspur/dispatch';
import {listen} from '@marigoldspur/http-link';
import {LoadBoard} from '@marigoldspur/membership';
import {
  LOAD_REPORTS_PATH,
  RELAY_PATH,
  type Member,
} from '@marigoldspur/messages';
import type {Task} from '@marigoldspur/process-life';
import {ProcessShell} from '@marigoldspur/process-shell';
import {ClaimDesk} from './claim-desk.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {AnswerSender} from './answer-sender.js';
import {AttemptRunner} from './attempt-runner.js';
import {openCallerTls} from './caller-tls.js';
import {ClaimedRunner} from './claimed-runner.js';
import {ControlContact} from './control-contact.js';
import {RequestDesk} from './request-desk.js';
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
  const shell = await ProcessShell.open('entry', settings);
  const {boot, events, security} = shell;
  const client = new ControlClient({
    urls: settings.control,
    agent: security.createAgent(),
  });
  const follower = new SettingsFollower(client, events);
  await follower.start(performance.now() + START_TIMEOUT_MS);
  const members = new MemberFollower(client);
  members.start();
  const loads = new RegionLoads({
    members: () => members.members(),
    region: settings.region,
    agent: security.createAgent(),
  });
  loads.start();
  const entryMetrics = new EntryMetrics(shell.metrics.registry);
  const keys = await openCallerKeys({
    file: settings.callerKeys,
    host: settings.host,
    events,
  });
  const callerTls = await openCallerTls(settings, events);
  const linkAgent = security.createAgent();
  const health = new TargetHealth({agent: linkAgent, events});
  const hints = new PrefixHints();
  const attempts = new AttemptClient({
    agent: linkAgent,
    health,
    prefixesChanged: (target, changes) =>
      hints.told(target, changes, performance.now()),
    heard: (revision, url) => follower.heard(revision, url),
  });
  const claims = new ClaimDesk({
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
    attempts,
    answers: new AnswerSender({events, metrics: entryMetrics}),
    retries: new RetryBudget(),
    events,
    metrics: entryMetrics,
    origin: () => url,
    random: Math.random,
  });
  const contact = new ControlContact(follower);
  const desk = new RequestDesk({
    settings: follower,
    keys,
    contact,
    reader: new RequestReader({
      settings: follower,
      keys,
      maxBodyBytes: settings.maxBodyBytes,
      maxHeldBytes: settings.maxHeldBytes,
    }),
    admission: new Admission({
      maxRunning: settings.maxRunning,
      random: Math.random,
    }),
    runner,
    claimed: new ClaimedRunner({claims, runner, events}),
    events,
    metrics: entryMetrics,
  });
  const callers = new CallerServer({
    handle: (request, response) => desk.handle(request, response),
    draining: () => shell.isDraining,
    createServer: (options, handler) =>
      callerTls.createServer(options, handler),
    readyPath: '/readyz',
  });
  const callerAddress = await listen(callers.server, {
    host: settings.host,
    port: settings.callerPort,
  });
  const board = new LoadBoard();
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
      running: desk.running,
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
      contact.heard(result.value.revision, sentAt);
      follower.heard(result.value.revision);
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
      if (desk.running > 0) {
        events.record('shutdown-bound-reached', {running: desk.running});
      }
      await claims.settled(COMPLETIONS_MS);
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
      shell.end();
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
    if (method === 'POST' && url === RELAY_PATH) {
      relay.handle(request, response);
    } else if (method === 'GET' && url === LOAD_REPORTS_PATH) {
      reports.handle(request, response);
    } else {
      response.statusCode = HTTP_NOT_FOUND;
      response.end('not found\n');
    }
  };
}
