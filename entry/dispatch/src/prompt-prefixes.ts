import {createHash} from 'node:crypto';
import {z} from 'zod';

/** The beginning of a prompt, up to the end of a message or block. */
export interface PromptPrefix {
  /** Hash of the adapter and all text of the prefix. */
  readonly key: string;
  /** Share of the whole prompt, above 0 and up to 1. */
  readonly share: number;
}

const BODY_SCHEMA = z.object({
  messages: z
    .array(z.object({role: z.unknown(), content: z.unknown()}))
    .optional(),
  prompt: z.unknown().optional(),
});
const KEY_CHARACTERS = 12;
const BLOCK_CHARACTERS = 512;
/**
 * Maximum number of prefixes per prompt: the first one, which is often shared
 * by all prompts, and the last ones.
 */
const MAX_PREFIXES = 16;

/**
 * Computes the prefixes of a request's prompt, shortest first: one per message
 * of a chat, or one per block of a plain prompt. A body that cannot be parsed
 * has none.
 */
export function computePromptPrefixes(
  model: string,
  body: Buffer,
): PromptPrefix[] {
  const pieces = splitPrompt(body);
  const total = pieces.reduce((sum, piece) => sum + piece.length, 0);
  const first = pieces.length - MAX_PREFIXES + 1;
  const hash = createHash('sha1').update(model);
  const prefixes: PromptPrefix[] = [];
  let length = 0;
  for (const [index, piece] of pieces.entries()) {
    hash.update(`\n${piece.length}\n${piece}`);
    length += piece.length;
    if (index === 0 || index >= first) {
      const key = hash.copy().digest('base64url').slice(0, KEY_CHARACTERS);
      prefixes.push({key, share: length / total});
    }
  }
  return prefixes;
}

function splitPrompt(body: Buffer): string[] {
  const parsed = BODY_SCHEMA.safeParse(parseJson(body));
  const {messages, prompt} = parsed.data ?? {};
  if (messages !== undefined) {
    return messages.map(
      ({content, role}) => `${String(role)}\n${formatContent(content)}`,
    );
  }
  return typeof prompt === 'string' ? splitBlocks(prompt) : [];
}

/**
 * Splits a prompt into whole blocks. The incomplete last block is dropped
 * because a longer prompt continues within it.
 */
function splitBlocks(prompt: string): string[] {
  const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
  return Array.from({length: count}, (_, index) => {
    const start = index * BLOCK_CHARACTERS;
    return prompt.slice(start, start + BLOCK_CHARACTERS);
  });
}

function formatContent(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
