import {setTimeout as delay} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {
  startLinkedControlGroup,
  type LinkedControlGroup,
} from '@marigoldspur/linearizability-check';
import {openPartitionProxy} from '@marigoldspur/partition-proxy';
import {EventLog} from '@marigoldspur/event-log';
import {readCpuMs} from './cpu-time.js';

/** Cost of settings streams for a number of followers. */
export interface FollowerCost {
  readonly followers: number;
  readonly replicas: number;
  /** Bytes between control and all followers per idle second. */
  readonly idleBytesPerSecond: number;
  /** CPU time of all replicas per idle second, in milliseconds. */
  readonly idleControlMsPerSecond: number;
  /** CPU time of all followers per idle second, in milliseconds. */
  readonly idleFollowersMsPerSecond: number;
  /** Bytes between control and all followers per change. */
  readonly bytesPerChange: number;
  /** CPU time of all replicas per change, in milliseconds. */
  readonly controlMsPerChange: number;
  /** CPU time of all followers per change, in milliseconds. */
  readonly followersMsPerChange: number;
  /** Time from the answer `accepted` until the change is in force at a follower, in milliseconds. */
  readonly inForceMs: {
    readonly median: number;
    readonly p99: number;
    readonly max: number;
  };
}

const IDLE_MS = 8_000;
const CHANGES = 24;
const CHANGE_INTERVAL_MS = 250;
const SETTLE_MS = 2_000;
const START_TIMEOUT_MS = 30_000;
const REPLICAS = 3;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Cumulative usage at one moment. */
interface Usage {
  readonly at: number;
  readonly bytes: number;
  readonly controlMs: number;
  readonly followersMs: number;
}

/** Measures settings streams from three replicas to `count` followers in this process. */
export async function measureFollowers(count: number): Promise<FollowerCost> {
  const group = await startLinkedControlGroup({replicas: REPLICAS});
  const links = await Promise.all(
    group.directUrls.map(url => openPartitionProxy(Number(new URL(url).port))),
  );
  const urls = links.map(link => `http://127.0.0.1:${link.port}`);
  const operator = new ControlClient({urls: group.directUrls});
  await submitChange(operator, 1);
  const applied: Array<{revision: number; at: number}> = [];
  const clients: ControlClient[] = [];
  const followers: SettingsFollower[] = [];
  for (let index = 0; index < count; index += 1) {
    const client = new ControlClient({urls});
    const events = new EventLog({
      process: `follower-${index}`,
      sinks: [
        {
          write: event => {
            if (event.name === 'settings-in-force') {
              const revision = Number(event.details['revision']);
              applied.push({revision, at: performance.now()});
            }
          },
        },
      ],
    });
    const follower = new SettingsFollower(client, events, {
      firstReplica: index % REPLICAS,
    });
    await follower.start(performance.now() + START_TIMEOUT_MS);
    clients.push(client);
    followers.push(follower);
  }
  await delay(SETTLE_MS);
  const sampleUsage = () =>
    measureUsage(group, () =>
      links.reduce((sum, link) => sum + link.countBytes(), 0),
    );
  const idleStart = sampleUsage();
  await delay(IDLE_MS);
  const idleEnd = sampleUsage();
  const acceptedAt = new Map<number, number>();
  const revision = followers[0].settings.revision;
  for (let number = revision + 1; number <= revision + CHANGES; number += 1) {
    await submitChange(operator, number);
    acceptedAt.set(number, performance.now());
    await delay(CHANGE_INTERVAL_MS);
  }
  await delay(SETTLE_MS);
  const busyEnd = sampleUsage();
  const latenciesMs = applied
    .filter(each => acceptedAt.has(each.revision))
    .map(each => Math.max(0, each.at - acceptedAt.get(each.revision)!))
    .sort((a, b) => a - b);
  if (latenciesMs.length !== CHANGES * count) {
    throw new Error(
      `only ${latenciesMs.length} of ${CHANGES * count} settings updates took effect in the followers`,
    );
  }
  await Promise.all(followers.map(follower => follower.stop()));
  [...clients, operator].forEach(client => client.close());
  await Promise.all(links.map(link => link.close()));
  await group.stop();
  const idleSeconds = (idleEnd.at - idleStart.at) / MS_PER_SECOND;
  const busySeconds = (busyEnd.at - idleEnd.at) / MS_PER_SECOND;
  const idlePerSecond = (select: (each: Usage) => number) =>
    (select(idleEnd) - select(idleStart)) / idleSeconds;
  const perChange = (select: (each: Usage) => number) =>
    (select(busyEnd) - select(idleEnd) - idlePerSecond(select) * busySeconds) /
    CHANGES;
  return {
    followers: count,
    replicas: REPLICAS,
    idleBytesPerSecond: idlePerSecond(each => each.bytes),
    idleControlMsPerSecond: idlePerSecond(each => each.controlMs),
    idleFollowersMsPerSecond: idlePerSecond(each => each.followersMs),
    bytesPerChange: perChange(each => each.bytes),
    controlMsPerChange: perChange(each => each.controlMs),
    followersMsPerChange: perChange(each => each.followersMs),
    inForceMs: {
      median: latenciesMs[Math.floor(latenciesMs.length / 2)],
      p99: latenciesMs[Math.floor(latenciesMs.length * 0.99)],
      max: latenciesMs[latenciesMs.length - 1],
    },
  };
}

function measureUsage(
  group: LinkedControlGroup,
  countBytes: () => number,
): Usage {
  const cpuUsage = process.cpuUsage();
  const controlMs = Array.from({length: REPLICAS}, (_, index) =>
    readCpuMs(group.child(index).process.pid!),
  ).reduce((sum, each) => sum + each, 0);
  return {
    at: performance.now(),
    bytes: countBytes(),
    controlMs,
    followersMs: (cpuUsage.user + cpuUsage.system) / MICROSECONDS_PER_MS,
  };
}

async function submitChange(
  client: ControlClient,
  number: number,
): Promise<void> {
  const change = {
    id: randomUUID(),
    number,
    author: 'bench',
    edits: [
      {
        edit: 'set' as const,
        path: '/',
        setting: 'queueLimit',
        value: number,
      },
    ],
  };
  const outcome = await client.call(
    (replica, signal) => replica.changeSettings.mutate(change, {signal}),
    performance.now() + START_TIMEOUT_MS,
  );
  if (outcome.isErr || outcome.value.outcome !== 'accepted') {
    throw new Error(`the change was not accepted: ${JSON.stringify(outcome)}`);
  }
}
