import {mkdtemp, rm} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {EventLog} from '@marigoldspur/event-log';
import {closeServer, listen} from '@marigoldspur/http-link';
import {findFreePorts} from '@marigoldspur/lab';
import {
  openReplicatedLog,
  type ReplicatedLog,
  type StateMachine,
} from '@marigoldspur/replicated-log';
import {LatencyMeter, type Throughput} from './latency-meter.js';

const PROPOSER_COUNTS = [1, 16, 256, 1_024];
const MEASURE_MS = 4_000;
const COMMAND = 'x'.repeat(200);
const BASE_PATH = '/trpc/log/';
const POLL_MS = 50;

/** Counts the applied commands. */
class Counter implements StateMachine<string, number> {
  private count = 0;

  apply(): number {
    this.count += 1;
    return this.count;
  }

  snapshot(): string {
    return String(this.count);
  }

  restore(snapshot: string): void {
    this.count = Number(snapshot);
  }
}

/** Measures the replicated log alone: replicas in this process that communicate over HTTP. */
export async function measureLog(replicas: number): Promise<Throughput[]> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-log-'));
  const ports = await findFreePorts(replicas);
  const peers = ports.map(port => `http://127.0.0.1:${port}`);
  const opened = await Promise.all(
    ports.map(port => openReplica(port, peers, folder)),
  );
  const leader = await waitForLeader(
    opened.map(({log}) => log),
    replicas,
  );
  const results: Throughput[] = [];
  for (const proposers of PROPOSER_COUNTS) {
    results.push(await measureLoad(leader, proposers));
  }
  await Promise.all(opened.map(({log}) => log.stop()));
  await Promise.all(opened.map(({server}) => closeServer(server)));
  await rm(folder, {recursive: true});
  return results;
}

async function openReplica(
  port: number,
  peers: readonly string[],
  folder: string,
) {
  const {log, router, paths} = await openReplicatedLog(new Counter(), {
    folder: path.join(folder, String(port)),
    url: `http://127.0.0.1:${port}`,
    peers,
    bootstrap: true,
    events: new EventLog({process: String(port)}),
    onFatal: fault => {
      throw fault;
    },
  });
  const handler = createHTTPHandler({router, basePath: BASE_PATH});
  const server = http.createServer((request, response) =>
    request.url?.startsWith(BASE_PATH)
      ? handler(request, response)
      : paths.get(request.url ?? '')?.(request, response),
  );
  await listen(server, {host: '127.0.0.1', port});
  return {log, server};
}

type Log = ReplicatedLog<string, number>;

async function waitForLeader(
  logs: readonly Log[],
  count: number,
): Promise<Log> {
  for (;;) {
    const leader = logs.find(log => log.status().role === 'leader');
    if (leader !== undefined && leader.status().voters.length === count) {
      return leader;
    }
    await delay(POLL_MS);
  }
}

async function measureLoad(
  leader: Log,
  proposers: number,
): Promise<Throughput> {
  const meter = new LatencyMeter();
  const endAt = performance.now() + MEASURE_MS;
  const runProposer = async () => {
    while (performance.now() < endAt) {
      const startedAt = performance.now();
      const result = await leader.propose(COMMAND);
      if (result.isOk) {
        meter.record(performance.now() - startedAt);
      }
    }
  };
  await Promise.all(Array.from({length: proposers}, runProposer));
  return meter.result(`log alone, ${proposers} proposers`, MEASURE_MS);
}
