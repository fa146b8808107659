/*
 * Measures what prefix affinity costs: CPU time of an entry per request, memory of the
 * hints, and bytes in the response headers.
 */
import {loadavg} from 'node:os';
import {PrefixHints, computePromptPrefixes} from '@marigoldspur/dispatch';
import {formatPrefixChanges, HOP_HEADERS} from '@marigoldspur/messages';

const ROUND_COUNT = 20_000;
const MESSAGES_PER_PROMPT = 12;
const MESSAGE_CHARACTERS = [100, 700, 4_000];
const TARGETS = Array.from({length: 12}, (_, index) => ({
  name: `lm-desk-${index}`,
  boot: 'd1b2c3d4-0000-4000-8000-000000000000',
}));
const PREFIX_COUNT = 32_768;
const MICROSECONDS_PER_MS = 1_000;

for (const characters of MESSAGE_CHARACTERS) {
  measureRequest(characters);
}
measureMemory();
measureHeaderBytes();
printLine(`load average ${loadavg()[0].toFixed(1)}`);

/**
 * Measures the time that an entry spends on a request: hashing its prefixes, and looking
 * up and recording hints.
 */
function measureRequest(characters: number): void {
  const messages = Array.from({length: MESSAGES_PER_PROMPT}, (_, index) => ({
    role: 'user',
    content: `${index} `.padEnd(characters, 'laytime '),
  }));
  const body = Buffer.from(JSON.stringify({messages}));
  const hints = new PrefixHints();
  let hashingMs = 0;
  let hintsMs = 0;
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    const startedAt = performance.now();
    const prefixes = computePromptPrefixes(`callao-${round % 100}@v1`, body);
    const hashedAt = performance.now();
    hints.cachedShares(prefixes, TARGETS, hashedAt);
    hints.recordPrompt(prefixes, TARGETS[round % TARGETS.length], hashedAt);
    hashingMs += hashedAt - startedAt;
    hintsMs += performance.now() - hashedAt;
  }
  const formatMicros = (ms: number) =>
    ((ms * MICROSECONDS_PER_MS) / ROUND_COUNT).toFixed(1);
  printLine(
    `${MESSAGES_PER_PROMPT} messages of ${characters} characters: ` +
      `hashing ${formatMicros(hashingMs)} us, hints ${formatMicros(hintsMs)} us`,
  );
}

/** Measures the memory of a full hint table; requires `--expose-gc`. */
function measureMemory(): void {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const hints = new PrefixHints({maxPrefixes: PREFIX_COUNT});
  for (let index = 0; index < PREFIX_COUNT; index += 1) {
    const key = `key${index}`.padEnd(12, 'x');
    hints.recordPrompt([{key, share: 1}], TARGETS[index % TARGETS.length], 0);
  }
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  printLine(
    `${hints.size} prefixes: ${Math.round(bytes / PREFIX_COUNT)} B each`,
  );
}

/** Measures the bytes that the longest list of changes adds to the headers of a response. */
function measureHeaderBytes(): void {
  const change = {key: 'abcdefghijkl', held: true};
  const changes = Array.from({length: 16}, () => change);
  const text = formatPrefixChanges({boot: TARGETS[0].boot, changes});
  printLine(
    `header of prefix changes: ${`${HOP_HEADERS.prefixChanges}: ${text}\r\n`.length} B`,
  );
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
