import path from 'node:path';
import {controlRouter} from '@marigoldspur/control-api';
import {EventLog, jsonLineSink} from '@marigoldspur/event-log';
import {PermitDesk} from '@marigoldspur/load-permits';
import {openLinkSecurity} from '@marigoldspur/link-security';
import {processMetrics} from '@marigoldspur/metrics';
import {bootIdentity, type Task} from '@marigoldspur/process-life';
import {startProcessServer} from '@marigoldspur/process-server';
import {openReplicatedLog} from '@marigoldspur/replicated-log';
import {ControlDesk} from './control-desk.js';
import {ControlMachine} from './control-machine.js';
import type {ControlSettings} from './control-settings.js';
import {loadOrderOf} from './load-order-of.js';

const LEASE_CHECK_MS = 200;
const EXIT_DISK_FAILED = 3;
const VERSION = '0.1.0';

/** Starts a replica of control. */
export async function startControl(
  settings: ControlSettings,
  drain: () => void,
): Promise<Task> {
  const boot = bootIdentity();
  const startedAt = performance.now();
  const events = new EventLog({
    process: settings.id,
    sinks: [jsonLineSink(settings.logLevel)],
  });
  const security = await openLinkSecurity(settings, events);
  const machine = new ControlMachine();
  const {log, router} = await openReplicatedLog(machine, {
    folder: path.join(settings.dataFolder, 'log'),
    url: settings.advertisedUrl ?? ownUrl(settings, security.scheme),
    peers: settings.peers,
    bootstrap: settings.bootstrap,
    electionTimeoutMs: settings.electionTimeoutMs,
    heartbeatMs: settings.heartbeatMs,
    proposeTimeoutMs: settings.proposeTimeoutMs,
    snapshotEntries: settings.snapshotEntries,
    events,
    agent: security.createAgent(),
    onFatal: () => process.exit(EXIT_DISK_FAILED),
  });
  const permits = new PermitDesk({
    loadsAtOnce: settings.loadsAtOnce,
    validMs: settings.permitValidMs,
    loadOrderOf: store => loadOrderOf(machine.settings.tree, store),
  });
  const desk = new ControlDesk({
    id: settings.id,
    boot,
    leaseMs: settings.leaseMs,
    machine,
    log,
    permits,
    events,
  });
  let draining = false;
  const server = await startProcessServer({
    address: {host: settings.host, port: settings.port},
    security,
    metrics: processMetrics({
      process: settings.id,
      role: 'control',
      zone: settings.zone,
    }),
    ready: () => !draining && log.isReady(),
    routers: {control: controlRouter(desk), log: router},
    service: {
      status: () => ({
        id: settings.id,
        role: 'control',
        zone: settings.zone,
        boot,
        version: VERSION,
        revision: machine.settings.revision,
        ready: !draining && log.isReady(),
        draining,
        uptimeMs: performance.now() - startedAt,
        facts: {
          log: desk.status().role,
          term: desk.status().term,
          commitIndex: desk.status().commitIndex,
          claims: machine.claims.size,
          members: desk.memberCount,
        },
      }),
      events: (after, limit, request) => events.after(after, limit, request),
      drain,
    },
  });
  const leaseCheck = setInterval(
    () => desk.checkLeases(performance.now()),
    LEASE_CHECK_MS,
  );
  events.record('process-started', {url: server.url, boot});
  return {
    async stop() {
      draining = true;
      events.record('process-draining');
      clearInterval(leaseCheck);
      await log.stop();
      security.stop();
      events.record('process-stopped');
    },
  };
}

function ownUrl(settings: ControlSettings, scheme: string): string {
  return `${scheme}://${settings.host}:${settings.port}`;
}
