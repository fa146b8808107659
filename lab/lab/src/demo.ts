import {
  formatEvent,
  formatTable,
  mergedTimeline,
} from '@marigoldspur/operator-commands';
import {deployments, deploymentTree} from './deployments.js';
import {startSystem, type System} from './system.js';

const ADAPTERS_EACH = 100;
const REQUESTS_EACH = 4;
const CONTROLS = 3;
const ENTRIES = 2;

interface DemoRow {
  readonly request: string;
  readonly what: string;
  readonly status: number;
  readonly tookMs: number;
  readonly answer: string;
  readonly [name: string]: string | number;
}

/** Starts both deployments of the brief, sends requests, and prints what ran where. */
export async function runDemo(write: (text: string) => void): Promise<boolean> {
  const list = deployments();
  write('starting control, entries, agents and stand-ins…\n');
  const system = await startSystem({
    deployments: list,
    tree: deploymentTree(list, ADAPTERS_EACH),
    controls: CONTROLS,
    entries: ENTRIES,
    logLevel: 'debug',
  });
  try {
    await system.settled();
    write(
      `${system.targets.length} targets serve behind ${system.balancerUrl}\n`,
    );
    const rows: DemoRow[] = [];
    for (let index = 0; index < REQUESTS_EACH; index += 1) {
      rows.push(await callModel(system, `callao-${index}@v1`, index % 2 === 0));
      rows.push(
        await callModel(system, `fretwell-${index}@v1`, index % 2 === 0),
      );
    }
    rows.push(await callService(system, '/chart-api/laytime'));
    rows.push(await callService(system, '/rental-desk/stock'));
    write(formatTable(rows));
    const timeline = await mergedTimeline(system.session, {
      request: rows[0].request,
    });
    write(`\nTime line of request ${rows[0].request}:\n`);
    if (timeline.isOk) {
      timeline.value.forEach(event => write(`${formatEvent(event)}\n`));
    }
    const good = rows.every(row => row.status === 200);
    write(good ? 'every request was answered\n' : 'a request was refused\n');
    return good && timeline.isOk && timeline.value.length > 0;
  } finally {
    await system.stop();
  }
}

async function callModel(
  system: System,
  model: string,
  stream: boolean,
): Promise<DemoRow> {
  const startedAt = performance.now();
  const answer = await fetch(`${system.balancerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({
      model,
      stream,
      messages: [{role: 'user', content: 'Draft the recap.'}],
    }),
  });
  const text = await answer.text();
  return {
    request: answer.headers.get('x-request-id') ?? '',
    what: `${model}${stream ? ' streamed' : ''}`,
    status: answer.status,
    tookMs: Math.round(performance.now() - startedAt),
    answer: `${text.length} bytes`,
  };
}

async function callService(system: System, path: string): Promise<DemoRow> {
  const startedAt = performance.now();
  const answer = await fetch(`${system.balancerUrl}${path}`, {
    method: 'POST',
    body: 'days=3',
    headers: {'idempotency-key': `demo-${path}`},
  });
  const text = await answer.text();
  return {
    request: answer.headers.get('x-request-id') ?? '',
    what: path,
    status: answer.status,
    tookMs: Math.round(performance.now() - startedAt),
    answer: `${text.length} bytes`,
  };
}
