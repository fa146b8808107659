import http from 'node:http';
import {loadavg} from 'node:os';
import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';
import {processCost} from './process-cost.js';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;
const CALLERS = 32;
const TOKENS = 300;
const TOKEN_MS = 10;
const ROUNDS = 3;
const MICROS_PER_SECOND = 1_000_000;

/** Streams through the whole path, with and without a resume, and prints the CPU of each token. */
for (const resumeMs of [0, 10_000]) {
  const system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], 10),
    ...{controls: 1, entries: 1, batchLimit: 1_024, logLevel: 'info'},
    ...{firstTokenMs: 0, tokenMs: TOKEN_MS, resumeMs},
  });
  try {
    await system.settled();
    print(`resume ${resumeMs} ms, load average ${loadavg()[0].toFixed(1)}`);
    await measure(system);
  } finally {
    await system.stop();
  }
}

async function measure(running: System): Promise<void> {
  const members = await running.session.members();
  const urls = members.map(all =>
    all
      .map(({role, url}) => ({role, url}))
      .filter(({role}) => role !== 'control'),
  );
  const agent = new http.Agent({keepAlive: true});
  const streams = () =>
    Promise.all(
      Array.from({length: CALLERS}, () => stream(running.entryUrls[0], agent)),
    );
  await streams();
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const {role, url} of urls.unwrapOr([])) {
      const before = (await processCost(url)).cpuSeconds;
      await streams();
      const used = (await processCost(url)).cpuSeconds - before;
      const micros = (used / (CALLERS * TOKENS)) * MICROS_PER_SECOND;
      print(`  ${role}: ${micros.toFixed(1)} us of CPU a token`);
    }
  }
  agent.destroy();
}

function stream(url: string, agent: http.Agent): Promise<void> {
  const body = JSON.stringify({
    ...{model: 'callao-0@v1', prompt: 'p', max_tokens: TOKENS, stream: true},
  });
  return new Promise((resolve, reject) => {
    const target = new URL('/v1/completions', url);
    const headers = {'content-length': Buffer.byteLength(body)};
    const call = http.request(target, {method: 'POST', headers, agent});
    call.on('error', reject);
    call.on('response', answer => {
      answer.resume();
      answer.on('error', reject);
      answer.on('end', () => resolve());
    });
    call.end(body);
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
