import {
  formatEvent,
  formatTable,
  readTimeline,
} from '@marigoldspur/operator-commands';
import {listDeployments, createDeploymentTree} from './deployments.js';
import {startSystem, type System} from './system.js';

const ADAPTERS_PER_SERVICE = 100;
const REQUESTS_PER_CUSTOMER = 4;
const CONTROL_COUNT = 3;
const ENTRY_COUNT = 2;

interface DemoRow {
  readonly request: string;
  /** Model or path that was requested. */
  readonly call: string;
  readonly status: number;
  readonly tookMs: number;
  /** Size of the response body. */
  readonly response: string;
  readonly [name: string]: string | number;
}

/**
 * Starts both deployments, sends requests, and prints the result of each and the timeline
 * of the first; resolves to whether all succeeded.
 */
export async function runDemo(write: (text: string) => void): Promise<boolean> {
  const allDeployments = listDeployments();
  write('starting control, entries, agents and stand-ins…\n');
  const system = await startSystem({
    deployments: allDeployments,
    tree: createDeploymentTree(allDeployments, ADAPTERS_PER_SERVICE),
    controls: CONTROL_COUNT,
    entries: ENTRY_COUNT,
    logLevel: 'debug',
  });
  try {
    await system.waitUntilSettled();
    write(
      `${system.targets.length} targets are ready behind ${system.balancerUrl}\n`,
    );
    const rows: DemoRow[] = [];
    for (let index = 0; index < REQUESTS_PER_CUSTOMER; index += 1) {
      rows.push(await callModel(system, `callao-${index}@v1`, index % 2 === 0));
      rows.push(
        await callModel(system, `fretwell-${index}@v1`, index % 2 === 0),
      );
    }
    rows.push(await callService(system, '/chart-api/laytime'));
    rows.push(await callService(system, '/rental-desk/stock'));
    write(formatTable(rows));
    const timeline = await readTimeline(system.session, {
      request: rows[0].request,
    });
    write(`\nTimeline of request ${rows[0].request}:\n`);
    if (timeline.isOk) {
      timeline.value.forEach(event => write(`${formatEvent(event)}\n`));
    }
    const allSucceeded = rows.every(row => row.status === 200);
    write(
      allSucceeded
        ? 'all requests succeeded\n'
        : 'at least one request failed\n',
    );
    return allSucceeded && timeline.isOk && timeline.value.length > 0;
  } finally {
    await system.stop();
  }
}

async function callModel(
  system: System,
  model: string,
  isStreamed: boolean,
): Promise<DemoRow> {
  const startedAt = performance.now();
  const response = await fetch(`${system.balancerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({
      model,
      stream: isStreamed,
      messages: [{role: 'user', content: 'Draft the recap.'}],
    }),
  });
  const text = await response.text();
  return {
    request: response.headers.get('x-request-id') ?? '',
    call: `${model}${isStreamed ? ' streamed' : ''}`,
    status: response.status,
    tookMs: Math.round(performance.now() - startedAt),
    response: `${text.length} bytes`,
  };
}

async function callService(system: System, path: string): Promise<DemoRow> {
  const startedAt = performance.now();
  const response = await fetch(`${system.balancerUrl}${path}`, {
    method: 'POST',
    body: 'days=3',
    headers: {'idempotency-key': `demo-${path}`},
  });
  const text = await response.text();
  return {
    request: response.headers.get('x-request-id') ?? '',
    call: path,
    status: response.status,
    tookMs: Math.round(performance.now() - startedAt),
    response: `${text.length} bytes`,
  };
}
