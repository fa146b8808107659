import http from 'node:http';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';
import {parseAnswer} from '../src/parse-answer.js';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 2}],
  loadsPerSecond: 50,
} as const;
const STREAMS = 20;
const TOKENS = 150;
const SHORT_STREAM_INTERVAL_MS = 40;

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 4),
    controls: 1,
    entries: 2,
    tokenMs: 30,
  });
  await system.waitUntilSettled();
});

after(() => system?.stop());

interface StreamResult {
  readonly isWhole: boolean;
  readonly status: number;
  readonly text: string;
}

/** Streams a completion over a connection of `agent`; calls `onData` for each chunk of the body. */
function stream(
  agent: http.Agent | false,
  tokens: number,
  onData: () => void = () => {},
): Promise<StreamResult> {
  return new Promise(resolve => {
    const url = new URL('/v1/completions', system.balancerUrl);
    const clientRequest = http.request(url, {method: 'POST', agent});
    clientRequest.on('error', () =>
      resolve({isWhole: false, status: 0, text: ''}),
    );
    clientRequest.on('response', response => {
      let body = '';
      response.on('data', chunk => {
        onData();
        body += chunk;
      });
      response.on('error', () => {});
      response.on('close', () => {
        const status = response.statusCode ?? 0;
        const {text} = parseAnswer(body, 'text/event-stream', status);
        resolve({isWhole: response.complete, status, text});
      });
    });
    const model = 'callao-1@v1';
    clientRequest.end(
      JSON.stringify({model, prompt: 'x', stream: true, max_tokens: tokens}),
    );
  });
}

it('shutdown: an entry that shuts down under streaming load interrupts no stream and refuses no request', async () => {
  const agent = new http.Agent({keepAlive: true});
  let startedCount = 0;
  let onAllStarted = () => {};
  const allStarted = new Promise<void>(resolve => {
    onAllStarted = resolve;
  });
  const longStreams = Array.from({length: STREAMS}, () => {
    let isFirstChunk = true;
    return stream(agent, TOKENS, () => {
      startedCount += isFirstChunk ? 1 : 0;
      isFirstChunk = false;
      if (startedCount === STREAMS) {
        onAllStarted();
      }
    });
  });
  await Promise.race([allStarted, Promise.all(longStreams)]);
  const [entry] = system.entries;
  entry.signal('SIGTERM');
  const shortStreams: Array<Promise<StreamResult>> = [];
  const timer = setInterval(
    () => shortStreams.push(stream(false, 3)),
    SHORT_STREAM_INTERVAL_MS,
  );
  const code = await entry.ended;
  clearInterval(timer);
  const results = await Promise.all([...longStreams, ...shortStreams]);
  expect(code).to.equal(0);
  const failed = results.filter(
    ({isWhole: whole, status}) => !whole || status !== 200,
  );
  expect(failed).to.deep.equal([]);
  const last = await Promise.all(longStreams);
  expect(last.every(({text}) => text.endsWith(` w${TOKENS - 1}`))).to.equal(
    true,
  );
  expect(entry.lines.join('\n')).to.not.contain('shutdown-bound-reached');
  agent.destroy();
});
