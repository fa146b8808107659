import {loadavg} from 'node:os';
import {PrefixHints, promptPrefixes} from '@marigoldspur/dispatch';
import {formatPrefixChanges, HOP_HEADERS} from '@marigoldspur/messages';

const ROUNDS = 20_000;
const MESSAGES = 12;
const MESSAGE_CHARACTERS = [100, 700, 4_000];
const TARGETS = Array.from({length: 12}, (_, index) => ({
  name: `lm-desk-${index}`,
  boot: 'd1b2c3d4-0000-4000-8000-000000000000',
}));
const PREFIXES = 32_768;
const MICROS = 1_000;

for (const characters of MESSAGE_CHARACTERS) {
  measureRequest(characters);
}
measureMemory();
measureBytes();
print(`load average ${loadavg()[0].toFixed(1)}`);

/** What one request costs an entry: naming its prefixes, and hints for them. */
function measureRequest(characters: number): void {
  const messages = Array.from({length: MESSAGES}, (_, index) => ({
    role: 'user',
    content: `${index} `.padEnd(characters, 'laytime '),
  }));
  const body = Buffer.from(JSON.stringify({messages}));
  const hints = new PrefixHints();
  let namingMs = 0;
  let hintingMs = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = performance.now();
    const prefixes = promptPrefixes(`callao-${round % 100}@v1`, body);
    const namedAt = performance.now();
    hints.cachedShares(prefixes, TARGETS, namedAt);
    hints.recordPrompt(prefixes, TARGETS[round % TARGETS.length], namedAt);
    namingMs += namedAt - startedAt;
    hintingMs += performance.now() - namedAt;
  }
  const micros = (ms: number) => ((ms * MICROS) / ROUNDS).toFixed(1);
  print(
    `${MESSAGES} messages of ${characters} characters: ` +
      `naming ${micros(namingMs)} us, hints ${micros(hintingMs)} us`,
  );
}

/** Memory of the hints when full; needs `--expose-gc`. */
function measureMemory(): void {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const hints = new PrefixHints({maxPrefixes: PREFIXES});
  for (let index = 0; index < PREFIXES; index += 1) {
    const key = `key${index}`.padEnd(12, 'x');
    hints.recordPrompt([{key, share: 1}], TARGETS[index % TARGETS.length], 0);
  }
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  print(`${hints.size} prefixes: ${Math.round(bytes / PREFIXES)} B each`);
}

/** Bytes that the longest list of changes adds to an answer. */
function measureBytes(): void {
  const change = {key: 'abcdefghijkl', held: true};
  const changes = Array.from({length: 16}, () => change);
  const text = formatPrefixChanges({boot: TARGETS[0].boot, changes});
  print(`changes: ${`${HOP_HEADERS.prefixChanges}: ${text}\r\n`.length} B`);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
