import path from 'node:path';
import {controlRouter, heartbeatHandler} from '@marigoldspur/control-api';
import {PermitDesk} from '@marigoldspur/load-permits';
import type {Task} from '@marigoldspur/process-life';
import {ProcessShell} from '@marigoldspur/process-shell';
import {openReplicatedLog} from '@marigoldspur/replicated-log';
import {BATCH_PATH, HEARTBEAT_PATH} from '@marigoldspur/messages';
import {ControlDesk} from './control-desk.js';
import {ControlMachine} from './control-machine.js';
import type {ControlSettings} from './control-settings.js';
import {storePolicyOf} from './store-policy-of.js';

const LEASE_CHECK_MS = 200;
const EXIT_DISK_FAILED = 3;

/** Starts a replica of control. */
export async function startControl(
  settings: ControlSettings,
  drain: () => void,
): Promise<Task> {
  const shell = await ProcessShell.open('control', settings);
  const {boot, events, security} = shell;
  const machine = new ControlMachine();
  const {log, router, paths} = await openReplicatedLog(machine, {
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
    policyOf: store => storePolicyOf(machine.settings.tree, store),
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
  const heartbeats = heartbeatHandler(desk);
  const url = await shell.serve({
    routers: {control: controlRouter(desk), log: router},
    paths: new Map([
      ...paths,
      [HEARTBEAT_PATH, heartbeats],
      [BATCH_PATH, heartbeats],
    ]),
    revision: () => machine.settings.revision,
    isReady: () => log.isReady(),
    facts: () => {
      const {role, term, commitIndex} = desk.status();
      const claims = machine.claims.size;
      return {log: role, term, commitIndex, claims, members: desk.memberCount};
    },
    drain,
  });
  const leaseCheck = setInterval(
    () => desk.checkLeases(performance.now()),
    LEASE_CHECK_MS,
  );
  events.record('process-started', {url, boot});
  return {
    async stop() {
      shell.beginDrain();
      clearInterval(leaseCheck);
      await log.stop();
      shell.end();
    },
  };
}

function ownUrl(settings: ControlSettings, scheme: string): string {
  return `${scheme}://${settings.host}:${settings.port}`;
}
