import {loadavg} from 'node:os';
import {setTimeout as pause} from 'node:timers/promises';
import {
  runsOf,
  sendChat,
  startConversationSystem,
  type Message,
} from './conversation-system.js';

/** A setting of the hint to measure. */
interface Variant {
  readonly name: string;
  readonly prefixAffinity: number;
  readonly engineFlags: readonly string[];
}

const ENGINES = 4;
const CONVERSATIONS = 24;
const TURNS = 6;
const TOKENS = 20;
const TOKEN_MS = 5;
/** Think times differ, so that turns of conversations mix. */
const THINK_MS = [120, 190, 310, 470];
const ADAPTERS = [1, 24];
const SYSTEM: Message = {
  role: 'system',
  content: 'You draft fixture recaps for a chartering desk. '.repeat(20),
};
const QUESTION = 'Add the clause on demurrage and despatch. '.repeat(12);
const CACHE = ['--cache-blocks', '1500', '--prefill-ms', '2'];
const LATE = ['--cache-lag-ms', '500', '--cache-drop-share', '0.2'];
const VARIANTS: readonly Variant[] = [
  {name: 'off', prefixAffinity: 0, engineFlags: CACHE},
  {name: '0.25', prefixAffinity: 0.25, engineFlags: CACHE},
  {name: '1', prefixAffinity: 1, engineFlags: CACHE},
  {
    name: '1, late events with gaps',
    prefixAffinity: 1,
    engineFlags: [...CACHE, ...LATE],
  },
];

for (const stallWeight of [0.5, 0.9]) {
  for (const adapters of ADAPTERS) {
    for (const variant of VARIANTS) {
      await measure(variant, adapters, stallWeight);
    }
  }
}

/** Lets conversations take their turns, and prints what was cached and how long answers took. */
async function measure(
  variant: Variant,
  adapters: number,
  stallWeight: number,
): Promise<void> {
  const system = await startConversationSystem({
    engines: ENGINES,
    entries: 2,
    adapters,
    batchLimit: 8,
    tokenMs: TOKEN_MS,
    stallWeight,
    ...variant,
  });
  try {
    const times: number[] = [];
    const talk = async (index: number) => {
      const messages = [SYSTEM];
      for (let turn = 0; turn < TURNS; turn += 1) {
        const content = `${index}.${turn} ${QUESTION}`;
        messages.push({role: 'user', content});
        const startedAt = performance.now();
        const answer = await sendChat(system.entryUrls[(index + turn) % 2], {
          model: `callao-${index % adapters}@v1`,
          messages,
          tokens: TOKENS,
        });
        if (turn > 0) {
          times.push(performance.now() - startedAt);
        }
        messages.push({role: 'assistant', content: answer.text});
        await pause(THINK_MS[(index + turn) % THINK_MS.length]);
      }
    };
    await Promise.all(Array.from({length: CONVERSATIONS}, (_, i) => talk(i)));
    const runs = [...(await runsOf(system)).values()].flat();
    const blocks = runs.reduce((sum, run) => sum + (run.promptBlocks ?? 0), 0);
    const cached = runs.reduce((sum, run) => sum + (run.cachedBlocks ?? 0), 0);
    const firstTokens = runs
      .filter(({input}) => input.includes('"assistant"'))
      .map(({startedAt, tokens}) => (tokens?.[0].at ?? Infinity) - startedAt);
    process.stdout.write(
      `stallWeight ${stallWeight}, ${adapters} adapters, hint ${variant.name}: ` +
        `cached ${Math.round((100 * cached) / blocks)}%, ` +
        `first token at the engine ${percentiles(firstTokens)}, ` +
        `whole answer ${percentiles(times)}, load ${loadavg()[0].toFixed(1)}\n`,
    );
  } finally {
    await system.stop();
  }
}

function percentiles(times: readonly number[]): string {
  const sorted = times.toSorted((a, b) => a - b);
  const at = (share: number) =>
    Math.round(sorted[Math.floor(share * sorted.length)]);
  return `p50 ${at(0.5)} p95 ${at(0.95)} ms`;
}
