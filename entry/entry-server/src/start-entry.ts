import {Admission} from '@marigoldspur/admission';
import {openCallerKeys} from '@marigoldspur/caller-keys';
import {
  ControlClient,
  MemberFollower,
  SettingsFollower,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {AttemptClient, TargetDirectory} from '@marigoldspur/dispatch';
import {EventLog, jsonLineSink} from '@marigoldspur/event-log';
import {closeServer, listen} from '@marigoldspur/http-link';
import {openLinkSecurity} from '@marigoldspur/link-security';
import {processMetrics} from '@marigoldspur/metrics';
import type {Member} from '@marigoldspur/messages';
import {bootIdentity, type Task} from '@marigoldspur/process-life';
import {startProcessServer} from '@marigoldspur/process-server';
import {ClaimDesk} from './claim-desk.js';
import {createCallerServer} from './caller-server.js';
import {EntryMetrics} from './entry-metrics.js';
import type {EntrySettings} from './entry-settings.js';
import {RequestDesk} from './request-desk.js';

const VERSION = '0.1.0';
const START_TIMEOUT_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_HEADER_BYTES = 16_384;

/** Starts an entry. */
export async function startEntry(
  settings: EntrySettings,
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
  const members = new MemberFollower(client);
  members.start();
  const metrics = processMetrics({
    process: settings.id,
    role: 'entry',
    zone: settings.zone,
  });
  const keys = await openCallerKeys({file: settings.callerKeys, events});
  const attempts = new AttemptClient(security.createAgent());
  const desk = new RequestDesk({
    settings: follower,
    admission: new Admission(),
    directory: new TargetDirectory(() => members.members(), settings.zone),
    attempts,
    keys,
    claims: new ClaimDesk(client, {entry: settings.id, boot}),
    events,
    metrics: new EntryMetrics(metrics.registry),
    maxBodyBytes: settings.maxBodyBytes,
    random: Math.random,
  });
  let draining = false;
  const callers = await createCallerServer(
    settings,
    {maxHeaderSize: MAX_HEADER_BYTES},
    (request, response) => {
      if (request.url === '/readyz') {
        response.statusCode = draining ? 503 : 200;
        response.end(draining ? 'not ready\n' : 'ready\n');
        return;
      }
      if (draining) {
        response.setHeader('connection', 'close');
      }
      void desk.handle(request, response);
    },
    events,
  );
  callers.headersTimeout = HEADERS_TIMEOUT_MS;
  callers.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  const callerAddress = await listen(callers, {
    host: settings.host,
    port: settings.callerPort,
  });
  const server = await startProcessServer({
    address: {host: settings.host, port: settings.port},
    security,
    metrics,
    ready: () => !draining,
    service: {
      status: () => ({
        id: settings.id,
        role: 'entry',
        zone: settings.zone,
        boot,
        version: VERSION,
        revision: follower.settings.revision,
        ready: !draining,
        draining,
        uptimeMs: performance.now() - startedAt,
        facts: {running: desk.running, members: members.members().length},
      }),
      events: (after, limit, request) => events.after(after, limit, request),
      drain,
    },
  });
  const member = (): Member => ({
    id: settings.id,
    role: 'entry',
    zone: settings.zone,
    boot,
    url: server.url,
    revision: follower.settings.revision,
    leaving: draining,
  });
  const heartbeat = startHeartbeat(client, member);
  events.record('process-started', {
    url: server.url,
    callers: `http://${callerAddress.host}:${callerAddress.port}`,
    boot,
  });
  return {
    async stop() {
      draining = true;
      events.record('process-draining');
      await pause(settings.settleMs);
      await Promise.race([closeServer(callers), pause(settings.drainMs)]);
      heartbeat.stop();
      await members.stop();
      await follower.stop();
      attempts.close();
      client.close();
      keys.stop();
      security.stop();
      events.record('process-stopped');
    },
  };
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
