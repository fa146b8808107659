import {setTimeout as delay} from 'node:timers/promises';
import {ControlClient} from '@marigoldspur/control-client';
import {toFault} from '@marigoldspur/faults';
import {collectInForceLines} from '@marigoldspur/fault-runs';
import {
  checkHistory,
  History,
  type HistoryLine,
  type Violation,
} from '@marigoldspur/history';
import {startChild, type Child} from '@marigoldspur/lab';
import type {Change} from '@marigoldspur/settings-schema';
import {
  startLinkedControlGroup,
  type LinkedControlGroup,
} from './linked-control-group.js';
import {waitUntilAllReplicasAreVoters, fetchStatuses} from './group-status.js';

/** Kind of the fault of a control replica during a measurement. */
export type ReplicaFaultKind = 'none' | 'cut' | 'freeze' | 'kill';

/** A fault and the role of the replica that it affects. */
export interface ReplicaFault {
  readonly fault: ReplicaFaultKind;
  readonly role: 'leader' | 'follower';
}

/** Options of a measurement. */
export interface PropagationOptions extends ReplicaFault {
  /** Whether the fault occurs before the first change is submitted or right after it was accepted. */
  readonly moment: 'before' | 'after';
  /** A second fault, of another replica, right after the next change was accepted. */
  readonly second?: ReplicaFault;
  /** Number of changes to submit. */
  readonly changes: number;
  /** Number of control replicas; 3 by default. */
  readonly replicas?: number;
}

/** Result of a measurement. */
export interface PropagationReport {
  /** Time from acceptance until each change was in force in all processes, in milliseconds. */
  readonly spreadMs: readonly number[];
  /** Time from the fault until the next change was accepted, in milliseconds. */
  readonly nextAcceptedMs: number;
  /** Number of entry and agent processes. */
  readonly processes: number;
  readonly violations: readonly Violation[];
}

interface Acceptance {
  readonly revision: number;
  /** In milliseconds since the epoch. */
  readonly at: number;
}

const DEFAULT_REPLICAS = 3;
const ENTRY_COUNT = 3;
const AGENT_COUNT = 3;
const ACCEPT_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 500;
const CHANGE_INTERVAL_MS = 700;
/** The 4 s that the rule `in-force-everywhere` allows and a margin, so that late changes are detected. */
const PROPAGATION_WAIT_MS = 5_000;

/**
 * Measures the time until accepted changes are in force in entry and agent processes
 * while a control replica fails. Only the links to control are cut. No requests are
 * sent, so a process can learn of a change from control only.
 */
export async function measurePropagation(
  options: PropagationOptions,
): Promise<PropagationReport> {
  const {replicas = DEFAULT_REPLICAS} = options;
  const group = await startLinkedControlGroup({replicas, hasPeerLinks: true});
  const client = new ControlClient({
    urls: group.linkUrls,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  let children: Child[] = [];
  try {
    await submitNextChange(client);
    children = startFollowers(group);
    await Promise.all(children.map(waitUntilStarted));
    await waitUntilAllReplicasAreVoters(group.directUrls);
    return await runOnGroup(group, client, children, options);
  } catch (thrown) {
    const statuses = JSON.stringify(await fetchStatuses(group.directUrls));
    throw new Error(
      `${toFault(thrown).message}; status of the control replicas: ${statuses}`,
    );
  } finally {
    children.forEach(child => child.signal('SIGKILL'));
    await Promise.all(children.map(child => child.ended));
    client.close();
    await group.stop();
  }
}

async function runOnGroup(
  group: LinkedControlGroup,
  client: ControlClient,
  children: readonly Child[],
  options: PropagationOptions,
): Promise<PropagationReport> {
  const lines: HistoryLine[] = children.map(child => ({
    line: 'process',
    process: child.name,
    state: 'started',
    at: Date.now(),
  }));
  const accepted: Acceptance[] = [];
  const failedIndexes: number[] = [];
  if (options.moment === 'after') {
    accepted.push(await submitNextChange(client));
  }
  const faultAt = Date.now();
  await injectFault(group, options, failedIndexes);
  if (options.second !== undefined) {
    accepted.push(await submitNextChange(client));
    await injectFault(group, options.second, failedIndexes);
  }
  while (accepted.length < options.changes) {
    accepted.push(await submitNextChange(client));
    await delay(CHANGE_INTERVAL_MS);
  }
  await delay(PROPAGATION_WAIT_MS);
  lines.push(
    ...accepted.map(each => ({line: 'accepted' as const, ...each})),
    ...children.flatMap(child => collectInForceLines(child, 0)),
    {line: 'end', at: Date.now()},
  );
  const history = new History(lines);
  return {
    spreadMs: accepted.map(each =>
      computePropagationMs(history, children, each),
    ),
    nextAcceptedMs:
      Math.min(...accepted.map(each => each.at).filter(at => at > faultAt)) -
      faultAt,
    processes: children.length,
    violations: checkHistory(history),
  };
}

/** Injects a fault into a replica that has not failed yet. */
async function injectFault(
  group: LinkedControlGroup,
  {fault, role}: ReplicaFault,
  failedIndexes: number[],
): Promise<void> {
  const index = await findReplica(group, role, failedIndexes);
  failedIndexes.push(index);
  switch (fault) {
    case 'cut':
      group.isolate(index, true);
      return;
    case 'freeze':
      group.child(index).signal('SIGSTOP');
      return;
    case 'kill':
      group.child(index).signal('SIGKILL');
      return;
    case 'none':
  }
}

/** Computes the time from acceptance until a revision was in force in all processes, in milliseconds; infinite if it never was. */
function computePropagationMs(
  history: History,
  children: readonly Child[],
  accepted: Acceptance,
): number {
  const times = children.map(({name}) => {
    const reached = history
      .of('in-force')
      .filter(line => line.process === name)
      .filter(line => line.revision >= accepted.revision);
    return Math.min(...reached.map(line => line.at));
  });
  return Math.max(0, Math.max(...times) - accepted.at);
}

/** Finds the index of a replica in a role that has not failed yet; -1 if there is none. */
async function findReplica(
  group: LinkedControlGroup,
  role: 'leader' | 'follower',
  failedIndexes: readonly number[],
): Promise<number> {
  const statuses = await fetchStatuses(group.directUrls);
  return statuses.findIndex(
    (state, index) => state?.role === role && !failedIndexes.includes(index),
  );
}

/** Submits the next change and waits until control accepts it. */
async function submitNextChange(client: ControlClient): Promise<Acceptance> {
  const deadline = performance.now() + ACCEPT_TIMEOUT_MS;
  const view = await client.call(
    (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
    deadline,
  );
  if (view.isErr) {
    throw view.error;
  }
  const change = createChange(view.value.revision + 1);
  const outcome = await client.call(
    (replica, signal) => replica.changeSettings.mutate(change, {signal}),
    deadline,
  );
  if (outcome.isErr) {
    throw outcome.error;
  }
  return {revision: change.number, at: Date.now()};
}

function createChange(number: number): Change {
  return {
    id: `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`,
    number,
    author: 'spread',
    edits: [{edit: 'set', path: '/', setting: 'queueLimit', value: number}],
  };
}

/** Starts the entries and agents that follow the settings. */
function startFollowers(group: LinkedControlGroup): Child[] {
  const control = group.linkUrls.join(',');
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) =>
    startChild(`entry-${index}`, '@marigoldspur/entry-server', [
      ...['--id', `entry-${index}`, '--zone', `zone-${index}`],
      ...['--caller-port', '0', '--port', '0', '--control', control],
    ]),
  );
  const agents = Array.from({length: AGENT_COUNT}, (_, index) =>
    startChild(`agent-${index}`, '@marigoldspur/agent-server', [
      ...['--id', `agent-${index}`, '--zone', `zone-${index}`],
      ...['--port', '0', '--control', control],
      ...['--target', `chart-api-${index}`, '--target-kind', 'service'],
      // Nothing listens there: the target is unhealthy, but its agent still follows settings.
      ...['--target-url', 'http://127.0.0.1:1'],
      ...['--customer', 'callao', '--service', 'chart-api'],
    ]),
  );
  return [...entries, ...agents];
}

function waitUntilStarted(child: Child): Promise<string> {
  return child.waitForLine(line => line.includes('"process-started"'));
}
