import {setTimeout as pause} from 'node:timers/promises';
import {ControlClient} from '@marigoldspur/control-client';
import {toFault} from '@marigoldspur/faults';
import {inForceLines} from '@marigoldspur/fault-runs';
import {
  checkHistory,
  History,
  type HistoryLine,
  type Violation,
} from '@marigoldspur/history';
import {startChild, type Child} from '@marigoldspur/lab';
import type {Change} from '@marigoldspur/settings-schema';
import {startControlGroup, type ControlGroup} from './control-group.js';
import {awaitWholeGroup, groupStates} from './group-states.js';

/** What happens to a replica of control while changes are accepted. */
export type SpreadFault = 'none' | 'cut' | 'freeze' | 'kill';

/** A fault with the replica that it happens to. */
export interface ReplicaFault {
  readonly fault: SpreadFault;
  readonly role: 'leader' | 'follower';
}

/** Options of a run. */
export interface SpreadOptions extends ReplicaFault {
  /** Whether it happens before the first change is submitted, or at once after it was accepted. */
  readonly moment: 'before' | 'after';
  /** A second fault, of another replica, at once after the next change was accepted. */
  readonly second?: ReplicaFault;
  readonly changes: number;
  /** Replicas of control; three by default. */
  readonly replicas?: number;
}

/** What a run showed. */
export interface SpreadReport {
  /** Time from acceptance until the last process had it in force, for each change, in milliseconds. */
  readonly spreadMs: readonly number[];
  /** Time from the fault until the next change was accepted, in milliseconds. */
  readonly nextAcceptedMs: number;
  readonly processes: number;
  readonly violations: readonly Violation[];
}

interface Acceptance {
  readonly revision: number;
  readonly at: number;
}

const DEFAULT_REPLICAS = 3;
const ENTRIES = 3;
const AGENTS = 3;
const ACCEPT_TIMEOUT_MS = 30_000;
const CALL_TIMEOUT_MS = 500;
const CHANGE_PAUSE_MS = 700;
/** The bound of the brief and a margin, so that what is late is seen as late. */
const FOLLOW_MS = 5_000;

/**
 * Follows accepted changes into force in entries and agents, as processes, while a
 * replica of control fails. Only the links to control are cut: whoever is behind may
 * learn of a change from control alone, since no requests pass.
 */
export async function runSpread(options: SpreadOptions): Promise<SpreadReport> {
  const {replicas = DEFAULT_REPLICAS} = options;
  const group = await startControlGroup({replicas, ownLinks: true});
  const client = new ControlClient({
    urls: group.linkUrls,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  let children: Child[] = [];
  try {
    await accept(client);
    children = startFollowers(group);
    await Promise.all(children.map(started));
    await awaitWholeGroup(group.directUrls);
    return await spreadOn(group, client, children, options);
  } catch (thrown) {
    const states = JSON.stringify(await groupStates(group.directUrls));
    throw new Error(`${toFault(thrown).message}; control: ${states}`);
  } finally {
    children.forEach(child => child.signal('SIGKILL'));
    await Promise.all(children.map(child => child.ended));
    client.close();
    await group.stop();
  }
}

async function spreadOn(
  group: ControlGroup,
  client: ControlClient,
  children: readonly Child[],
  options: SpreadOptions,
): Promise<SpreadReport> {
  const lines: HistoryLine[] = children.map(child => ({
    line: 'process',
    process: child.name,
    state: 'started',
    at: Date.now(),
  }));
  const accepted: Acceptance[] = [];
  const failed: number[] = [];
  if (options.moment === 'after') {
    accepted.push(await accept(client));
  }
  const faultAt = Date.now();
  await bring(group, options, failed);
  if (options.second !== undefined) {
    accepted.push(await accept(client));
    await bring(group, options.second, failed);
  }
  while (accepted.length < options.changes) {
    accepted.push(await accept(client));
    await pause(CHANGE_PAUSE_MS);
  }
  await pause(FOLLOW_MS);
  lines.push(
    ...accepted.map(each => ({line: 'accepted' as const, ...each})),
    ...children.flatMap(child => inForceLines(child, 0)),
    {line: 'end', at: Date.now()},
  );
  const history = new History(lines);
  return {
    spreadMs: accepted.map(each => spreadOf(history, children, each)),
    nextAcceptedMs:
      Math.min(...accepted.map(each => each.at).filter(at => at > faultAt)) -
      faultAt,
    processes: children.length,
    violations: checkHistory(history),
  };
}

/** Brings a fault to a replica that has not failed yet. */
async function bring(
  group: ControlGroup,
  {fault, role}: ReplicaFault,
  failed: number[],
): Promise<void> {
  const index = await replicaIn(group, role, failed);
  failed.push(index);
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

/** Time until a revision was in force in all processes; infinite where it never was. */
function spreadOf(
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

async function replicaIn(
  group: ControlGroup,
  role: 'leader' | 'follower',
  failed: readonly number[],
): Promise<number> {
  const states = await groupStates(group.directUrls);
  return states.findIndex(
    (state, index) => state?.role === role && !failed.includes(index),
  );
}

/** Submits the next change until it is accepted. */
async function accept(client: ControlClient): Promise<Acceptance> {
  const deadline = performance.now() + ACCEPT_TIMEOUT_MS;
  const view = await client.call(
    (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
    deadline,
  );
  if (view.isErr) {
    throw view.error;
  }
  const change = changeOf(view.value.revision + 1);
  const outcome = await client.call(
    (replica, signal) => replica.changeSettings.mutate(change, {signal}),
    deadline,
  );
  if (outcome.isErr) {
    throw outcome.error;
  }
  return {revision: change.number, at: Date.now()};
}

function changeOf(number: number): Change {
  return {
    id: `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`,
    number,
    author: 'spread',
    edits: [{edit: 'set', path: '/', setting: 'queueLimit', value: number}],
  };
}

function startFollowers(group: ControlGroup): Child[] {
  const control = group.linkUrls.join(',');
  const entries = Array.from({length: ENTRIES}, (_, index) =>
    startChild(`entry-${index}`, '@marigoldspur/entry-server', [
      ...['--id', `entry-${index}`, '--zone', `zone-${index}`],
      ...['--caller-port', '0', '--port', '0', '--control', control],
    ]),
  );
  const agents = Array.from({length: AGENTS}, (_, index) =>
    startChild(`agent-${index}`, '@marigoldspur/agent-server', [
      ...['--id', `agent-${index}`, '--zone', `zone-${index}`],
      ...['--port', '0', '--control', control],
      ...['--target', `chart-api-${index}`, '--target-kind', 'service'],
      // Nothing listens there: the target is unhealthy, and its agent follows all the same.
      ...['--target-url', 'http://127.0.0.1:1'],
      ...['--customer', 'callao', '--service', 'chart-api'],
    ]),
  );
  return [...entries, ...agents];
}

function started(child: Child): Promise<string> {
  return child.line(line => line.includes('"process-started"'));
}
