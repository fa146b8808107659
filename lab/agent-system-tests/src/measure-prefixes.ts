/* Measures how prefix affinity changes the share of cached blocks and the response times. */
import {loadavg} from 'node:os';
import {setTimeout as pause} from 'node:timers/promises';
import {
  fetchRunRecords,
  sendChat,
  startConversationSystem,
  type Message,
} from './conversation-system.js';

/** A prefix affinity and engine configuration to measure. */
interface Variant {
  readonly name: string;
  readonly prefixAffinity: number;
  readonly engineFlags: readonly string[];
}

const ENGINE_COUNT = 4;
const CONVERSATION_COUNT = 24;
const TURNS_PER_CONVERSATION = 6;
const TOKENS_PER_TURN = 20;
const TOKEN_MS = 5;
/** The think times differ so that the turns of the conversations interleave. */
const THINK_TIMES_MS = [120, 190, 310, 470];
const ADAPTER_COUNTS = [1, 24];
const SYSTEM_MESSAGE: Message = {
  role: 'system',
  content: 'You draft fixture recaps for a chartering desk. '.repeat(20),
};
const QUESTION = 'Add the clause on demurrage and despatch. '.repeat(12);
const CACHE_FLAGS = ['--cache-blocks', '1500', '--prefill-ms', '2'];
const DELAYED_EVENTS_FLAGS = [
  '--cache-lag-ms',
  '500',
  '--cache-drop-share',
  '0.2',
];
const VARIANTS: readonly Variant[] = [
  {name: 'off', prefixAffinity: 0, engineFlags: CACHE_FLAGS},
  {name: '0.25', prefixAffinity: 0.25, engineFlags: CACHE_FLAGS},
  {name: '1', prefixAffinity: 1, engineFlags: CACHE_FLAGS},
  {
    name: '1, delayed events with gaps',
    prefixAffinity: 1,
    engineFlags: [...CACHE_FLAGS, ...DELAYED_EVENTS_FLAGS],
  },
];

for (const stallWeight of [0.5, 0.9]) {
  for (const adapters of ADAPTER_COUNTS) {
    for (const variant of VARIANTS) {
      await measureVariant(variant, adapters, stallWeight);
    }
  }
}

/** Runs the conversations; prints the share of cached blocks and the response times. */
async function measureVariant(
  variant: Variant,
  adapters: number,
  stallWeight: number,
): Promise<void> {
  const system = await startConversationSystem({
    engines: ENGINE_COUNT,
    entries: 2,
    adapters,
    batchLimit: 8,
    tokenMs: TOKEN_MS,
    stallWeight,
    ...variant,
  });
  try {
    const times: number[] = [];
    const runConversation = async (index: number) => {
      const messages = [SYSTEM_MESSAGE];
      for (let turn = 0; turn < TURNS_PER_CONVERSATION; turn += 1) {
        const content = `${index}.${turn} ${QUESTION}`;
        messages.push({role: 'user', content});
        const startedAt = performance.now();
        const response = await sendChat(system.entryUrls[(index + turn) % 2], {
          model: `callao-${index % adapters}@v1`,
          messages,
          tokens: TOKENS_PER_TURN,
        });
        if (turn > 0) {
          times.push(performance.now() - startedAt);
        }
        messages.push({role: 'assistant', content: response.text});
        await pause(THINK_TIMES_MS[(index + turn) % THINK_TIMES_MS.length]);
      }
    };
    await Promise.all(
      Array.from({length: CONVERSATION_COUNT}, (_, i) => runConversation(i)),
    );
    const runs = [...(await fetchRunRecords(system)).values()].flat();
    const blocks = runs.reduce((sum, run) => sum + (run.promptBlocks ?? 0), 0);
    const cached = runs.reduce((sum, run) => sum + (run.cachedBlocks ?? 0), 0);
    const firstTokenTimes = runs
      .filter(({input}) => input.includes('"assistant"'))
      .map(({startedAt, tokens}) => (tokens?.[0].at ?? Infinity) - startedAt);
    process.stdout.write(
      `stallWeight ${stallWeight}, ${adapters} adapters, prefix affinity ${variant.name}: ` +
        `cached ${Math.round((100 * cached) / blocks)}%, ` +
        `first token at the engine ${formatPercentiles(firstTokenTimes)}, ` +
        `complete response ${formatPercentiles(times)}, load average ${loadavg()[0].toFixed(1)}\n`,
    );
  } finally {
    await system.stop();
  }
}

function formatPercentiles(times: readonly number[]): string {
  const sorted = times.toSorted((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(sorted[Math.floor(share * sorted.length)]);
  return `p50 ${percentile(0.5)} p95 ${percentile(0.95)} ms`;
}
