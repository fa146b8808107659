import fc from 'fast-check';

/** A change of a text. Positions are shares of its length, in units of 1 / `POSITIONS`. */
export type TextEdit =
  | {
      /** Exchanges a number or a word, counted from the start and around the end. */
      readonly edit: 'number' | 'word';
      readonly index: number;
      readonly value: string;
    }
  | {
      /** Exchanges all digits of a number for one digit; its length stays. */
      readonly edit: 'digits';
      readonly index: number;
      readonly value: string;
    }
  | {
      /** Exchanges a character. */
      readonly edit: 'character';
      readonly at: number;
      readonly value: string;
    }
  | {
      /** Removes a part, or repeats it. */
      readonly edit: 'remove' | 'repeat';
      readonly at: number;
      readonly length: number;
    }
  | {readonly edit: 'cut'; readonly at: number};

const POSITIONS = 10_000;
const MAX_INDEX = 63;
/** Numbers and words in front are chosen more often: they tell how the rest is read. */
const MAX_FRONT_INDEX = 7;
const MAX_LENGTH = 40;
const MAX_CODE = 255;
const NUMBER_PATTERN = /\d+/g;
const WORD_PATTERN = /[A-Za-z][\w-]*/g;
const ODD_NUMBERS = [
  ...['', '0', '000', '1', '-1', '7', '99', '101', '204', '304', '600', '999'],
  ...['65536', '2147483648', '4294967296', '9007199254740993'],
  ...['99999999999999999999', '1e400', '1.5', '0x10', 'NaN'],
];
const ODD_WORDS = [
  ...['', ' ', 'null', 'true', '__proto__', 'constructor', 'a b', '\0', 'é'],
  ...['\r\n', '"', '\\', '%', '%00', '%E0%A4%A', '[', '{}', 'a'.repeat(9_000)],
  ...['close', 'chunked', 'identity', 'upgrade', 'gzip', 'HEAD', 'CONNECT'],
];

const INDEX = fc.oneof(
  fc.nat({max: MAX_FRONT_INDEX}),
  fc.nat({max: MAX_INDEX}),
);
const POSITION = fc.nat({max: POSITIONS - 1});
const EDIT: fc.Arbitrary<TextEdit> = fc.oneof(
  fc.record({
    edit: fc.constant('number' as const),
    index: INDEX,
    value: fc.constantFrom(...ODD_NUMBERS),
  }),
  fc.record({
    edit: fc.constant('digits' as const),
    index: INDEX,
    value: fc.constantFrom('0', '1', '9'),
  }),
  fc.record({
    edit: fc.constant('word' as const),
    index: INDEX,
    value: fc.constantFrom(...ODD_WORDS),
  }),
  fc.record({
    edit: fc.constant('character' as const),
    at: POSITION,
    value: fc.nat({max: MAX_CODE}).map(code => String.fromCharCode(code)),
  }),
  fc.record({
    edit: fc.constantFrom('remove' as const, 'repeat' as const),
    at: POSITION,
    length: fc.integer({min: 1, max: MAX_LENGTH}),
  }),
  fc.record({edit: fc.constant('cut' as const), at: POSITION}),
);

/** Generates sound texts with at most `maxEdits` edits. */
export function editedTexts(
  soundTexts: fc.Arbitrary<string>,
  maxEdits: number,
): fc.Arbitrary<string> {
  return fc
    .tuple(soundTexts, fc.array(EDIT, {maxLength: maxEdits}))
    .map(([text, edits]) => applyEdits(text, edits));
}

/** Applies edits in their order. */
export function applyEdits(text: string, edits: readonly TextEdit[]): string {
  return edits.reduce(applyEdit, text);
}

function applyEdit(text: string, edit: TextEdit): string {
  switch (edit.edit) {
    case 'number':
      return exchange(text, NUMBER_PATTERN, edit.index, () => edit.value);
    case 'digits':
      return exchange(text, NUMBER_PATTERN, edit.index, number =>
        edit.value.repeat(number.length),
      );
    case 'word':
      return exchange(text, WORD_PATTERN, edit.index, () => edit.value);
    case 'character': {
      const at = positionOf(text, edit);
      return text.slice(0, at) + edit.value + text.slice(at + 1);
    }
    case 'remove': {
      const at = positionOf(text, edit);
      return text.slice(0, at) + text.slice(at + edit.length);
    }
    case 'repeat': {
      const end = positionOf(text, edit) + edit.length;
      const part = text.slice(end - edit.length, end);
      return text.slice(0, end) + part + text.slice(end);
    }
    case 'cut':
      return text.slice(0, positionOf(text, edit));
  }
}

function positionOf(text: string, {at}: {readonly at: number}): number {
  return Math.floor((at * text.length) / POSITIONS);
}

/** Exchanges one of the parts that match a pattern; none if there is none. */
function exchange(
  text: string,
  pattern: RegExp,
  index: number,
  createValue: (part: string) => string,
): string {
  const matches = [...text.matchAll(pattern)];
  if (matches.length === 0) {
    return text;
  }
  const match = matches[index % matches.length];
  const [part] = match;
  return (
    text.slice(0, match.index) +
    createValue(part) +
    text.slice(match.index + part.length)
  );
}
