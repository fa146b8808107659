import type {ModelWork} from './wire-format.js';

/** Expected number of output tokens, as a share of the stated maximum. */
const EXPECTED_OUTPUT_SHARE = 0.5;

/** Tokens of memory that a call is expected to take: its prompt and its output. */
export function memoryTokensOf({
  maxOutputTokens,
  promptTokens,
}: ModelWork): number {
  return promptTokens + maxOutputTokens * EXPECTED_OUTPUT_SHARE;
}
