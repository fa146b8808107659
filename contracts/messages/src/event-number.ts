/** Digits of `Number.MAX_SAFE_INTEGER`, the largest number that every process reads exactly. */
const EVENT_NUMBER_PATTERN = /^[ \t]*(\d{1,16})[ \t]*$/;

/**
 * Parses the number of an event of a stream: in the event itself, as the last event that a caller
 * has, and between processes. All of them have to read a number alike, or a stream that is taken up
 * goes on at another event. Undefined if the text is not a whole number up to
 * `Number.MAX_SAFE_INTEGER`.
 */
export function parseEventNumber(text: string): number | undefined {
  const digits = EVENT_NUMBER_PATTERN.exec(text)?.[1];
  const number = Number(digits);
  return Number.isSafeInteger(number) ? number : undefined;
}
