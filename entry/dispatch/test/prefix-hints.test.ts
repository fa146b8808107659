import {expect} from 'chai';
import {PrefixHints, computePromptPrefixes} from '@marigoldspur/dispatch';

const TTL_MS = 1_000;
const A = {name: 'a', boot: 'a1'};
const B = {name: 'b', boot: 'b1'};
const TURN = [
  {role: 'system', content: 'You draft recaps.'},
  {role: 'user', content: 'Draft one.'},
];
const NEXT_TURN = [
  ...TURN,
  {role: 'assistant', content: 'Done.'},
  {role: 'user', content: 'Shorter.'},
];

function chat(messages: unknown, model = 'recap@v1') {
  return computePromptPrefixes(model, Buffer.from(JSON.stringify({messages})));
}

function plain(prompt: string) {
  return computePromptPrefixes(
    'recap@v1',
    Buffer.from(JSON.stringify({prompt})),
  );
}

function keys(prefixes: ReadonlyArray<{key: string}>) {
  return prefixes.map(({key}) => key);
}

it('prompt prefixes: the next turn starts with the prefixes of the previous turn', () => {
  const [before, after] = [chat(TURN), chat(NEXT_TURN)];
  expect(keys(after).slice(0, 2)).to.deep.equal(keys(before));
  expect(before[1].share).to.equal(1);
  expect(after[1].share).to.be.within(0.01, 0.99);
});

it('prompt prefixes: a different adapter, text or message boundary gives different keys', () => {
  const known = keys(chat(TURN));
  const cut = [{role: 'system', content: 'You draft recaps.\nuser'}];
  const others = [
    chat(TURN, 'recap@v2'),
    chat([{...TURN[0], content: 'You draft clauses.'}, TURN[1]]),
    chat(cut),
  ];
  for (const other of others) {
    expect(keys(other)).to.not.include.members([known[0]]);
    expect(keys(other)).to.not.include.members([known[1]]);
  }
});

it('prompt prefixes: a longer plain prompt starts with the blocks of a shorter one', () => {
  const text = 'laytime '.repeat(200);
  const [short, long] = [plain(text.slice(0, 1_100)), plain(text)];
  expect(short).to.have.lengthOf(2);
  expect(keys(long).slice(0, 2)).to.deep.equal(keys(short));
});

it('prompt prefixes: a long conversation keeps its first and last prefixes', () => {
  const messages = Array.from({length: 40}, (_, index) => ({
    role: 'user',
    content: `turn ${index}`,
  }));
  const prefixes = keys(chat(messages));
  expect(prefixes).to.have.lengthOf(16);
  expect(prefixes[0]).to.equal(keys(chat(messages.slice(0, 1)))[0]);
  expect(prefixes[14]).to.equal(keys(chat(messages.slice(0, 39))).at(-1));
});

it('prompt prefixes: a body that cannot be parsed has none', () => {
  const texts = ['', '{', '[]', '{"messages":7}', '{"messages":[3]}', '{}'];
  for (const text of texts) {
    expect(computePromptPrefixes('recap@v1', Buffer.from(text)), text).to.be
      .empty;
  }
});

it('prefix hints: the longest prefix sent to a target counts until it expires', () => {
  const hints = new PrefixHints({ttlMs: TTL_MS});
  hints.recordPrompt(chat(TURN), A, 0);
  hints.recordPrompt(chat(TURN).slice(0, 1), B, 0);
  const shares = (now: number) =>
    hints.cachedShares(chat(NEXT_TURN), [A, B], now);
  expect(shares(TTL_MS - 1).get('a')).to.equal(chat(NEXT_TURN)[1].share);
  expect(shares(TTL_MS - 1).get('b')).to.equal(chat(NEXT_TURN)[0].share);
  expect(shares(TTL_MS)).to.be.empty;
});

it('prefix hints: a restarted target has nothing cached', () => {
  const hints = new PrefixHints();
  hints.recordPrompt(chat(TURN), A, 0);
  const restarted = {...A, boot: 'a2'};
  expect(hints.cachedShares(chat(TURN), [restarted], 0)).to.be.empty;
  expect(hints.cachedShares(chat(TURN), [A], 0)).to.have.keys('a');
});

it('prefix hints: agents report prefixes that others sent and that the target evicted', () => {
  const hints = new PrefixHints();
  const [first, whole] = chat(TURN);
  const report = (key: string, held: boolean, boot = 'a1') =>
    hints.applyChanges('a', {boot, changes: [{key, held}]}, 0);
  report(whole.key, true);
  expect(hints.cachedShares(chat(TURN), [A, B], 0).get('a')).to.equal(1);
  report(whole.key, false);
  expect(hints.cachedShares(chat(TURN), [A, B], 0)).to.be.empty;
  report(first.key, true, 'a0');
  expect(hints.cachedShares(chat(TURN), [A, B], 0)).to.be.empty;
});

it('prefix hints: memory is bounded and the least recently used prefix is evicted', () => {
  const hints = new PrefixHints({maxPrefixes: 2});
  const prompts = ['one', 'two', 'three'].map(content =>
    chat([{role: 'user', content}]),
  );
  hints.recordPrompt(prompts[0], A, 0);
  hints.recordPrompt(prompts[1], A, 0);
  hints.recordPrompt(prompts[0], A, 0);
  hints.recordPrompt(prompts[2], A, 0);
  expect(hints.size).to.equal(2);
  const held = prompts.map(each => hints.cachedShares(each, [A], 0).has('a'));
  expect(held).to.deep.equal([true, false, true]);
});
