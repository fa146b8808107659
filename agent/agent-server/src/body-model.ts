import {Result} from 'true-myth';

const MODEL_KEY = 'model';
const CODE_QUOTE = 0x22;
const CODE_BACKSLASH = 0x5c;
const CODE_COLON = 0x3a;
/** Character codes of `{` and `[`. */
const OPENING_CODES = new Set([0x7b, 0x5b]);
/** Character codes of `}` and `]`. */
const CLOSING_CODES = new Set([0x7d, 0x5d]);

/**
 * Reads the `model` field of a JSON body. Returns an error if another parser
 * could read a different model: for repeated keys, keys that differ only in
 * case, and invalid UTF-8.
 */
export function readBodyModel(body: Buffer): Result<string, string> {
  let text: string;
  let value: unknown;
  try {
    text = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(
      body,
    );
    value = JSON.parse(text);
  } catch {
    return Result.err('the body is not JSON');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return Result.err('the body is not a JSON object');
  }
  const names = topLevelKeys(text).filter(
    key => key.toLowerCase() === MODEL_KEY,
  );
  if (names.length !== 1 || names[0] !== MODEL_KEY) {
    return Result.err('the body must name its model exactly once');
  }
  const {model} = value as {model: unknown};
  return typeof model === 'string'
    ? Result.ok(model)
    : Result.err('the model must be a string');
}

/**
 * Returns the keys of the top-level object of valid JSON, including repeated
 * ones.
 */
function topLevelKeys(text: string): string[] {
  const keys: string[] = [];
  let depth = 0;
  let string = '';
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === CODE_QUOTE) {
      const end = stringEnd(text, index);
      string = depth === 1 ? text.slice(index, end + 1) : '';
      index = end;
    } else if (code === CODE_COLON && depth === 1) {
      keys.push(JSON.parse(string) as string);
    } else if (OPENING_CODES.has(code)) {
      depth += 1;
    } else if (CLOSING_CODES.has(code)) {
      depth -= 1;
    }
  }
  return keys;
}

/**
 * Returns the position of the closing quote of the string that starts at
 * `start`.
 */
function stringEnd(text: string, start: number): number {
  let index = start + 1;
  while (text.charCodeAt(index) !== CODE_QUOTE) {
    index += text.charCodeAt(index) === CODE_BACKSLASH ? 2 : 1;
  }
  return index;
}
