import {setTimeout as pause} from 'node:timers/promises';
import {ControlClient, startHeartbeat} from '@marigoldspur/control-client';
import {startControlGroup} from '@marigoldspur/control-history';
import {openCutLink} from '@marigoldspur/cut-link';
import type {Member} from '@marigoldspur/messages';
import {cpuMsOf} from './cpu-time.js';

/** What heartbeats cost at a number of members. */
export interface HeartbeatCost {
  readonly members: number;
  readonly heartbeatsPerSecond: number;
  /** Both ways, in bytes. */
  readonly bytesPerHeartbeat: number;
  /** Processor time of the leader, in milliseconds. */
  readonly leaderMsPerHeartbeat: number;
  /** Processor time of the members, in milliseconds. */
  readonly memberMsPerHeartbeat: number;
}

const WARM_UP_MS = 15_000;
const MEASURE_MS = 6_000;
const MS_PER_SECOND = 1_000;

/** Measures heartbeats straight to control, of members in this process, at one replica. */
export async function measureHeartbeats(count: number): Promise<HeartbeatCost> {
  const group = await startControlGroup({replicas: 1});
  const link = await openCutLink(Number(new URL(group.directUrls[0]).port));
  const pid = group.child(0).process.pid!;
  let answers = 0;
  const running = Array.from({length: count}, (_, index) => {
    const client = new ControlClient({urls: [`http://127.0.0.1:${link.port}`]});
    const heartbeat = startHeartbeat(
      client,
      () => memberOf(index),
      answer => {
        answers += answer.result.isOk ? 1 : 0;
      },
    );
    return {client, heartbeat};
  });
  await pause(WARM_UP_MS);
  const usage = () => {
    const own = process.cpuUsage();
    return {
      at: performance.now(),
      answers,
      bytes: link.bytes(),
      leaderMs: cpuMsOf(pid),
      memberMs: (own.user + own.system) / MS_PER_SECOND,
    };
  };
  const start = usage();
  await pause(MEASURE_MS);
  const end = usage();
  running.forEach(each => {
    each.heartbeat.stop();
    each.client.close();
  });
  await link.close();
  await group.stop();
  const beats = end.answers - start.answers;
  return {
    members: count,
    heartbeatsPerSecond: (beats * MS_PER_SECOND) / (end.at - start.at),
    bytesPerHeartbeat: (end.bytes - start.bytes) / beats,
    leaderMsPerHeartbeat: (end.leaderMs - start.leaderMs) / beats,
    memberMsPerHeartbeat: (end.memberMs - start.memberMs) / beats,
  };
}

function memberOf(index: number): Member {
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
