import {setTimeout as delay} from 'node:timers/promises';
import {ControlClient, startHeartbeat} from '@marigoldspur/control-client';
import {startLinkedControlGroup} from '@marigoldspur/linearizability-check';
import {openPartitionProxy} from '@marigoldspur/partition-proxy';
import type {Member} from '@marigoldspur/messages';
import {readCpuMs} from './cpu-time.js';

/** Cost of heartbeats for a number of members. */
export interface HeartbeatCost {
  readonly members: number;
  readonly heartbeatsPerSecond: number;
  /** Traffic in both directions, in bytes. */
  readonly bytesPerHeartbeat: number;
  /** CPU time of the leader, in milliseconds. */
  readonly leaderMsPerHeartbeat: number;
  /** CPU time of the members, in milliseconds. */
  readonly memberMsPerHeartbeat: number;
}

const WARM_UP_MS = 15_000;
const MEASURE_MS = 6_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Measures heartbeats that `count` members in this process send directly to a single control replica. */
export async function measureHeartbeats(count: number): Promise<HeartbeatCost> {
  const group = await startLinkedControlGroup({replicas: 1});
  const link = await openPartitionProxy(
    Number(new URL(group.directUrls[0]).port),
  );
  const pid = group.child(0).process.pid!;
  let answers = 0;
  const members = Array.from({length: count}, (_, index) => {
    const client = new ControlClient({urls: [`http://127.0.0.1:${link.port}`]});
    const heartbeat = startHeartbeat(
      client,
      () => createMember(index),
      answer => {
        answers += answer.result.isOk ? 1 : 0;
      },
    );
    return {client, heartbeat};
  });
  await delay(WARM_UP_MS);
  const measureUsage = () => {
    const cpuUsage = process.cpuUsage();
    return {
      at: performance.now(),
      answers,
      bytes: link.countBytes(),
      leaderMs: readCpuMs(pid),
      memberMs: (cpuUsage.user + cpuUsage.system) / MICROSECONDS_PER_MS,
    };
  };
  const start = measureUsage();
  await delay(MEASURE_MS);
  const end = measureUsage();
  members.forEach(each => {
    each.heartbeat.stop();
    each.client.close();
  });
  await link.close();
  await group.stop();
  const heartbeats = end.answers - start.answers;
  return {
    members: count,
    heartbeatsPerSecond: (heartbeats * MS_PER_SECOND) / (end.at - start.at),
    bytesPerHeartbeat: (end.bytes - start.bytes) / heartbeats,
    leaderMsPerHeartbeat: (end.leaderMs - start.leaderMs) / heartbeats,
    memberMsPerHeartbeat: (end.memberMs - start.memberMs) / heartbeats,
  };
}

function createMember(index: number): Member {
  return {
    id: `agent-${index}`,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
  };
}
