import {setTimeout as pause} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {
  startControlGroup,
  type ControlGroup,
} from '@marigoldspur/control-history';
import {openCutLink} from '@marigoldspur/cut-link';
import {EventLog} from '@marigoldspur/event-log';
import {cpuMsOf} from './cpu-time.js';

/** What following costs at a number of followers. */
export interface FollowerCost {
  readonly followers: number;
  readonly replicas: number;
  /** Bytes between control and all followers in one idle second. */
  readonly idleBytesPerSecond: number;
  /** Processor time of all replicas in one idle second, in milliseconds. */
  readonly idleControlMsPerSecond: number;
  /** Processor time of all followers in one idle second, in milliseconds. */
  readonly idleFollowersMsPerSecond: number;
  /** Bytes between control and all followers for one change. */
  readonly bytesPerChange: number;
  /** Processor time of all replicas for one change, in milliseconds. */
  readonly controlMsPerChange: number;
  /** Processor time of all followers for one change, in milliseconds. */
  readonly followersMsPerChange: number;
  /** From the answer `accepted` to in force at a follower, in milliseconds. */
  readonly inForceMs: {
    readonly median: number;
    readonly p99: number;
    readonly max: number;
  };
}

const IDLE_MS = 8_000;
const CHANGES = 24;
const CHANGE_PAUSE_MS = 250;
const SETTLE_MS = 2_000;
const START_MS = 30_000;
const REPLICAS = 3;
const MS_PER_SECOND = 1_000;

interface Usage {
  readonly at: number;
  readonly bytes: number;
  readonly controlMs: number;
  readonly followersMs: number;
}

/** Measures streams of settings from three replicas to followers in this process. */
export async function measureFollowers(count: number): Promise<FollowerCost> {
  const group = await startControlGroup({replicas: REPLICAS});
  const links = await Promise.all(
    group.directUrls.map(url => openCutLink(Number(new URL(url).port))),
  );
  const urls = links.map(link => `http://127.0.0.1:${link.port}`);
  const operator = new ControlClient({urls: group.directUrls});
  await change(operator, 1);
  const seen: Array<{revision: number; at: number}> = [];
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
              seen.push({revision, at: performance.now()});
            }
          },
        },
      ],
    });
    const follower = new SettingsFollower(client, events, {
      firstReplica: index % REPLICAS,
    });
    await follower.start(performance.now() + START_MS);
    clients.push(client);
    followers.push(follower);
  }
  await pause(SETTLE_MS);
  const usage = () =>
    usageOf(group, () => links.reduce((sum, link) => sum + link.bytes(), 0));
  const idleStart = usage();
  await pause(IDLE_MS);
  const idleEnd = usage();
  const acceptedAt = new Map<number, number>();
  const revision = followers[0].settings.revision;
  for (let number = revision + 1; number <= revision + CHANGES; number += 1) {
    await change(operator, number);
    acceptedAt.set(number, performance.now());
    await pause(CHANGE_PAUSE_MS);
  }
  await pause(SETTLE_MS);
  const busyEnd = usage();
  const delays = seen
    .filter(each => acceptedAt.has(each.revision))
    .map(each => Math.max(0, each.at - acceptedAt.get(each.revision)!))
    .sort((a, b) => a - b);
  if (delays.length !== CHANGES * count) {
    throw new Error(`${delays.length} of ${CHANGES * count} came into force`);
  }
  await Promise.all(followers.map(follower => follower.stop()));
  [...clients, operator].forEach(client => client.close());
  await Promise.all(links.map(link => link.close()));
  await group.stop();
  const idleSeconds = (idleEnd.at - idleStart.at) / MS_PER_SECOND;
  const busySeconds = (busyEnd.at - idleEnd.at) / MS_PER_SECOND;
  const idle = (of: (each: Usage) => number) =>
    (of(idleEnd) - of(idleStart)) / idleSeconds;
  const perChange = (of: (each: Usage) => number) =>
    (of(busyEnd) - of(idleEnd) - idle(of) * busySeconds) / CHANGES;
  return {
    followers: count,
    replicas: REPLICAS,
    idleBytesPerSecond: idle(each => each.bytes),
    idleControlMsPerSecond: idle(each => each.controlMs),
    idleFollowersMsPerSecond: idle(each => each.followersMs),
    bytesPerChange: perChange(each => each.bytes),
    controlMsPerChange: perChange(each => each.controlMs),
    followersMsPerChange: perChange(each => each.followersMs),
    inForceMs: {
      median: delays[Math.floor(delays.length / 2)],
      p99: delays[Math.floor(delays.length * 0.99)],
      max: delays[delays.length - 1],
    },
  };
}

function usageOf(group: ControlGroup, bytes: () => number): Usage {
  const own = process.cpuUsage();
  const controlMs = Array.from({length: REPLICAS}, (_, index) =>
    cpuMsOf(group.child(index).process.pid!),
  ).reduce((sum, each) => sum + each, 0);
  return {
    at: performance.now(),
    bytes: bytes(),
    controlMs,
    followersMs: (own.user + own.system) / MS_PER_SECOND,
  };
}

async function change(client: ControlClient, number: number): Promise<void> {
  const made = {
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
    (replica, signal) => replica.changeSettings.mutate(made, {signal}),
    performance.now() + START_MS,
  );
  if (outcome.isErr || outcome.value.outcome !== 'accepted') {
    throw new Error(`a change was not accepted: ${JSON.stringify(outcome)}`);
  }
}
