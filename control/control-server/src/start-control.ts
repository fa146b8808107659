import path from 'node:path';
import {controlRouter, heartbeatHandler} from '@marigoldspur/control-api';
import {PermitDesk} from '@marigoldspur/load-permits';
import type {Task} from '@marigoldspur/process-life';
import {ProcessShell} from '@marigoldspur/process-shell';
import {openReplicatedLog} from '@marigoldspur/replicated-log';
import {FENCES_PATH, FLEET_PATH} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {FleetDesk} from '@marigoldspur/fleet';
import {BATCH_PATH, HEARTBEAT_PATH} from '@marigoldspur/messages';
import type {ProcessMetrics} from '@marigoldspur/metrics';
import {CommandRelay, COMMANDS_PATH} from './command-relay.js';
import {ControlDesk} from './control-desk.js';
import {ControlMachine} from './control-machine.js';
import type {ControlSettings} from './control-settings.js';
import {fenceHandler} from './fence-handler.js';
import {storePolicyOf} from './store-policy-of.js';

const LEASE_CHECK_MS = 200;
const EXIT_DISK_FAILED = 3;

/** The parts of a replica of control that a further interface is opened to. */
export interface ControlParts {
  readonly fleet: FleetDesk;
  readonly events: EventLog;
  readonly metrics: ProcessMetrics;
  /** Takes over other base URLs at which replicas may be found first. */
  readonly useSeeds: (urls: readonly string[]) => void;
}

/** Opens a further interface to a replica of control. */
export type ControlDoor = (parts: ControlParts) => Promise<Task>;

/** Starts a replica of control, with a further interface where one is given. */
export async function startControl(
  settings: ControlSettings,
  drain: () => void,
  door?: ControlDoor,
): Promise<Task> {
  const shell = await ProcessShell.open('control', settings);
  const {boot, events, security} = shell;
  const machine = new ControlMachine();
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
  const commands = new CommandRelay({log, agent: security.createAgent()});
  const fleet = new FleetDesk({
    deployments: machine.deployments,
    log,
    commands,
    events,
  });
  machine.onDeployment(() => fleet.streams.deploymentChanged());
  const url = await shell.serve({
    routers: {control: controlRouter(desk), log: router},
    paths: new Map([
      ...paths,
      [HEARTBEAT_PATH, heartbeats],
      [BATCH_PATH, heartbeats],
      [COMMANDS_PATH, commands.handler()],
      [FENCES_PATH, fenceHandler(commands)],
      [
        FLEET_PATH,
        (request, response) => fleet.streams.handle(request, response),
      ],
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
  const opened = await door?.({
    fleet,
    events,
    metrics: shell.metrics,
    useSeeds: urls => log.useSeeds(urls),
  });
  events.record('process-started', {url, boot});
  return {
    async stop() {
      shell.beginDrain();
      clearInterval(leaseCheck);
      await opened?.stop();
      fleet.stop();
      await log.stop();
      shell.end();
    },
  };
}

function ownUrl(settings: ControlSettings, scheme: string): string {
  return `${scheme}://${settings.host}:${settings.port}`;
}
