import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import type {System} from '@marigoldspur/lab';
import {
  fetchRunRecords,
  sendChat,
  setFaults,
  startConversationSystem,
  type ChatResponse,
  type Message,
} from '@marigoldspur/agent-system-tests';

const MODEL = 'callao-0@v1';
const BATCH_LIMIT = 4;
const LONG_TOKENS = 60;
const SHORT_TOKENS = 2;
const POLL_MS = 50;
const STEADY_CHOICE_COUNT = 8;
const FILLER = 'laytime counts from notice of readiness. '.repeat(10);

let system: System;
/** The engine that each entry chooses for a new conversation while it sees all engines as idle. */
let preferredEngine: string;
let chatCount = 0;

before(async () => {
  system = await startConversationSystem({
    engines: 2,
    entries: 2,
    adapters: 2,
    batchLimit: BATCH_LIMIT,
    tokenMs: 10,
    prefixAffinity: 1,
    stallWeight: 0.5,
    engineFlags: [...['--cache-blocks', '2000'], ...['--cache-lag-ms', '20']],
  });
  await Promise.all(sendLongChats(0, BATCH_LIMIT + 1));
  while (!(await areEnginesReady())) {
    await pause(POLL_MS);
  }
  preferredEngine = await waitForSteadyChoice();
});

after(() => system?.stop());

function send(entry: number, messages: Message[], tokens = SHORT_TOKENS) {
  const chat = {model: MODEL, messages, tokens};
  return sendChat(system.entryUrls[entry], chat);
}

/** Creates the first turn of a new conversation. */
function createFirstTurn(): Message[] {
  chatCount += 1;
  const content = `conversation ${chatCount}: ${FILLER}`;
  return [{role: 'user', content}];
}

function createNextTurn(turn: Message[], response: ChatResponse): Message[] {
  return [
    ...turn,
    {role: 'assistant', content: response.text},
    {role: 'user', content: 'Make it shorter.'},
  ];
}

function sendLongChats(
  entry: number,
  count: number,
): Array<Promise<ChatResponse>> {
  return Array.from({length: count}, () =>
    send(entry, createFirstTurn(), LONG_TOKENS),
  );
}

/** Finds the engine that ran the messages, and the number of their blocks that it had cached. */
async function findRun(messages: Message[]) {
  const input = JSON.stringify(messages);
  for (const [engine, runs] of await fetchRunRecords(system)) {
    const run = runs.find(each => each.input === input);
    if (run !== undefined) {
      return {engine, cached: run.cachedBlocks};
    }
  }
  throw new Error('no engine ran the messages');
}

async function countRunning(engine: string): Promise<number> {
  const runs = (await fetchRunRecords(system)).get(engine) ?? [];
  return runs.filter(({end}) => end === 'running').length;
}

/** Sends a new conversation through an entry; returns the engine that the entry chose. */
async function probeChoice(entry: number): Promise<string> {
  const messages = createFirstTurn();
  await send(entry, messages);
  return (await findRun(messages)).engine;
}

/** Whether every agent reports that its engine has loaded the adapter and is idle. */
async function areEnginesReady(): Promise<boolean> {
  const members = (await system.session.listMembers()).unwrapOr([]);
  const agents = members.filter(({target}) => target !== undefined);
  const facts = await Promise.all(
    agents.map(async ({url}) => {
      const status = await system.session
        .createProcessClient(url)
        .status.query();
      return status.facts;
    }),
  );
  return facts.every(
    ({resident, running}) =>
      String(resident).split(' ').includes(MODEL) && running === 0,
  );
}

/** Waits until both entries choose the same engine several times in a row; returns it. */
async function waitForSteadyChoice(): Promise<string> {
  const choices: string[] = [];
  while (
    new Set(choices.slice(-STEADY_CHOICE_COUNT)).size !== 1 ||
    choices.length < STEADY_CHOICE_COUNT
  ) {
    choices.push(await probeChoice(choices.length % 2));
    await pause(POLL_MS);
  }
  return choices.at(-1)!;
}

/**
 * Starts a conversation while the preferred engine of an entry is full, so that the
 * other engine runs it.
 */
async function startOnOtherEngine(entry: number) {
  while ((await probeChoice(entry)) !== preferredEngine) {
    await pause(POLL_MS);
  }
  const longChats = sendLongChats(entry, BATCH_LIMIT);
  while ((await countRunning(preferredEngine)) < BATCH_LIMIT) {
    await pause(POLL_MS);
  }
  const turn = createFirstTurn();
  const response = await send(entry, turn);
  const {engine} = await findRun(turn);
  expect(engine).to.not.equal(preferredEngine);
  await Promise.all(longChats);
  while ((await probeChoice(entry)) !== preferredEngine) {
    await pause(POLL_MS);
  }
  return {engine, next: createNextTurn(turn, response)};
}

it('prefix affinity: the next turn goes to the engine that has its prefix cached', async () => {
  const {engine, next} = await startOnOtherEngine(0);
  await send(0, next);
  const run = await findRun(next);
  expect(run.engine).to.equal(engine);
  expect(run.cached).to.be.above(0);
});

it('prefix affinity: another entry learns of the cached prefix from a response', async () => {
  const {engine, next} = await startOnOtherEngine(0);
  const second = await startOnOtherEngine(1);
  expect(second.engine).to.equal(engine);
  await send(1, next);
  expect((await findRun(next)).engine).to.equal(engine);
});

it('prefix affinity: responses stay correct despite wrong cache events and a restart', async () => {
  const cacheFaults = {cacheEvents: 'wrong', clearCache: true} as const;
  for (const {url} of system.targets) {
    await setFaults(url, cacheFaults);
  }
  for (let turn = 0; turn < 3; turn += 1) {
    const conversations = Array.from({length: 6}, async (_, index) => {
      const first = createFirstTurn();
      const response = await send(index % 2, first);
      return send((index + 1) % 2, createNextTurn(first, response));
    });
    const responses = await Promise.all(conversations);
    expect(responses.map(({status}) => status)).to.deep.equal(
      Array(6).fill(200),
    );
    responses.forEach(({model, text}) => {
      expect(model).to.equal(MODEL);
      expect(text).to.match(/^callao-0@v1 w1$/);
    });
    await setFaults(system.targets[turn % 2].url, {
      ...cacheFaults,
      restart: true,
    });
    await system.waitUntilSettled();
  }
  for (const {agent} of system.targets) {
    expect(agent.process.exitCode, agent.name).to.equal(null);
  }
});
