import http from 'node:http';
import {expect} from 'chai';
import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';
import {readAnswerText} from '../src/answer-text.js';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 2}],
  loadsPerSecond: 50,
} as const;
const STREAMS = 20;
const TOKENS = 150;
const STEADY_MS = 40;

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], 4),
    controls: 1,
    entries: 2,
    tokenMs: 30,
  });
  await system.settled();
});

after(() => system?.stop());

interface Ended {
  readonly whole: boolean;
  readonly status: number;
  readonly text: string;
}

/** Streams a completion over a connection of `agent`; `begun` is called at its first byte. */
function stream(
  agent: http.Agent | false,
  tokens: number,
  begun: () => void = () => {},
): Promise<Ended> {
  return new Promise(resolve => {
    const url = new URL('/v1/completions', system.balancerUrl);
    const call = http.request(url, {method: 'POST', agent});
    call.on('error', () => resolve({whole: false, status: 0, text: ''}));
    call.on('response', message => {
      let body = '';
      message.on('data', chunk => {
        begun();
        body += chunk;
      });
      message.on('error', () => {});
      message.on('close', () => {
        const status = message.statusCode ?? 0;
        const {text} = readAnswerText(body, 'text/event-stream', status);
        resolve({whole: message.complete, status, text});
      });
    });
    const model = 'callao-1@v1';
    call.end(
      JSON.stringify({model, prompt: 'x', stream: true, max_tokens: tokens}),
    );
  });
}

it('shutdown: an entry under streaming load interrupts and refuses nothing', async () => {
  const agent = new http.Agent({keepAlive: true});
  let begun = 0;
  let allBegun = () => {};
  const running = new Promise<void>(resolve => {
    allBegun = resolve;
  });
  const long = Array.from({length: STREAMS}, () => {
    let first = true;
    return stream(agent, TOKENS, () => {
      begun += first ? 1 : 0;
      first = false;
      if (begun === STREAMS) {
        allBegun();
      }
    });
  });
  await Promise.race([running, Promise.all(long)]);
  const [entry] = system.entries;
  entry.signal('SIGTERM');
  const short: Array<Promise<Ended>> = [];
  const timer = setInterval(() => short.push(stream(false, 3)), STEADY_MS);
  const code = await entry.ended;
  clearInterval(timer);
  const ended = await Promise.all([...long, ...short]);
  expect(code).to.equal(0);
  const broken = ended.filter(({whole, status}) => !whole || status !== 200);
  expect(broken).to.deep.equal([]);
  const last = await Promise.all(long);
  expect(last.every(({text}) => text.endsWith(` w${TOKENS - 1}`))).to.equal(
    true,
  );
  expect(entry.lines.join('\n')).to.not.contain('shutdown-bound-reached');
  agent.destroy();
});
