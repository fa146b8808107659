import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import type {System} from '@marigoldspur/lab';
import {
  runsOf,
  sendChat,
  setFaults,
  startConversationSystem,
  type ChatAnswer,
  type Message,
} from '@marigoldspur/agent-lab';

const MODEL = 'callao-0@v1';
const BATCH_LIMIT = 4;
const LONG_TOKENS = 60;
const SHORT_TOKENS = 2;
const POLL_MS = 50;
const STEADY = 8;
const FILLER = 'laytime counts from notice of readiness. '.repeat(10);

let system: System;
/** The engine that each entry chooses while it knows of no load. */
let usual: string;
let chats = 0;

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
  await Promise.all(longChats(0, BATCH_LIMIT + 1));
  while (!(await areIdleHolders())) {
    await pause(POLL_MS);
  }
  usual = await steadyChoice();
});

after(() => system?.stop());

function send(entry: number, messages: Message[], tokens = SHORT_TOKENS) {
  const chat = {model: MODEL, messages, tokens};
  return sendChat(system.entryUrls[entry], chat);
}

/** The first turn of a conversation of its own. */
function opening(): Message[] {
  chats += 1;
  const content = `conversation ${chats}: ${FILLER}`;
  return [{role: 'user', content}];
}

function nextTurn(turn: Message[], answer: ChatAnswer): Message[] {
  return [
    ...turn,
    {role: 'assistant', content: answer.text},
    {role: 'user', content: 'Make it shorter.'},
  ];
}

function longChats(entry: number, count: number): Array<Promise<ChatAnswer>> {
  return Array.from({length: count}, () => send(entry, opening(), LONG_TOKENS));
}

/** The engine that ran these messages, and how many of their blocks it had cached. */
async function ran(messages: Message[]) {
  const input = JSON.stringify(messages);
  for (const [engine, runs] of await runsOf(system)) {
    const run = runs.find(each => each.input === input);
    if (run !== undefined) {
      return {engine, cached: run.cachedBlocks};
    }
  }
  throw new Error('no engine ran it');
}

async function runningAt(engine: string): Promise<number> {
  const runs = (await runsOf(system)).get(engine) ?? [];
  return runs.filter(({end}) => end === 'running').length;
}

/** Where an entry sends a new conversation while it knows of no load. */
async function idleChoice(entry: number): Promise<string> {
  const messages = opening();
  await send(entry, messages);
  return (await ran(messages)).engine;
}

/** Whether each agent says that its engine holds the adapter and runs nothing. */
async function areIdleHolders(): Promise<boolean> {
  const members = (await system.session.members()).unwrapOr([]);
  const agents = members.filter(({target}) => target !== undefined);
  const facts = await Promise.all(
    agents.map(async ({url}) => {
      const status = await system.session.process(url).status.query();
      return status.facts;
    }),
  );
  return facts.every(
    ({resident, running}) =>
      String(resident).split(' ').includes(MODEL) && running === 0,
  );
}

/** The choice that both entries make several times on end. */
async function steadyChoice(): Promise<string> {
  const choices: string[] = [];
  while (
    new Set(choices.slice(-STEADY)).size !== 1 ||
    choices.length < STEADY
  ) {
    choices.push(await idleChoice(choices.length % 2));
    await pause(POLL_MS);
  }
  return choices.at(-1)!;
}

/** Sends a first turn while an entry's usual engine is full, so that it goes to the other. */
async function openElsewhere(entry: number) {
  while ((await idleChoice(entry)) !== usual) {
    await pause(POLL_MS);
  }
  const busy = longChats(entry, BATCH_LIMIT);
  while ((await runningAt(usual)) < BATCH_LIMIT) {
    await pause(POLL_MS);
  }
  const turn = opening();
  const answer = await send(entry, turn);
  const {engine} = await ran(turn);
  expect(engine).to.not.equal(usual);
  await Promise.all(busy);
  while ((await idleChoice(entry)) !== usual) {
    await pause(POLL_MS);
  }
  return {engine, next: nextTurn(turn, answer)};
}

it('prefix affinity: the next turn goes to the engine that holds its prefix', async () => {
  const {engine, next} = await openElsewhere(0);
  await send(0, next);
  const run = await ran(next);
  expect(run.engine).to.equal(engine);
  expect(run.cached).to.be.above(0);
});

it('prefix affinity: another entry learns of the prefix from an answer', async () => {
  const {engine, next} = await openElsewhere(0);
  const heard = await openElsewhere(1);
  expect(heard.engine).to.equal(engine);
  await send(1, next);
  expect((await ran(next)).engine).to.equal(engine);
});

it('prefix affinity: wrong events and a restart make no answer wrong', async () => {
  const wrong = {cacheEvents: 'wrong', clearCache: true} as const;
  for (const {url} of system.targets) {
    await setFaults(url, wrong);
  }
  for (let turn = 0; turn < 3; turn += 1) {
    const conversations = Array.from({length: 6}, async (_, index) => {
      const first = opening();
      const answer = await send(index % 2, first);
      return send((index + 1) % 2, nextTurn(first, answer));
    });
    const answers = await Promise.all(conversations);
    expect(answers.map(({status}) => status)).to.deep.equal(Array(6).fill(200));
    answers.forEach(({model, text}) => {
      expect(model).to.equal(MODEL);
      expect(text).to.match(/^callao-0@v1 w1$/);
    });
    await setFaults(system.targets[turn % 2].url, {...wrong, restart: true});
    await system.settled();
  }
  for (const {agent} of system.targets) {
    expect(agent.process.exitCode, agent.name).to.equal(null);
  }
});
