import type {Event} from '@marigoldspur/event-catalogue';

/** Maximum length of a text in an event, in characters. */
const MAX_TEXT_LENGTH = 4_096;
/** Memory of an event besides its texts, in bytes. */
const EVENT_BYTES = 512;
const BYTES_PER_CHARACTER = 2;

/** Cuts a text that is too long for an event and says how long it was. */
export function boundText(text: string): string {
  if (text.length <= MAX_TEXT_LENGTH) {
    return text;
  }
  // A slice of a string keeps the whole string in memory.
  const start = Buffer.from(text.slice(0, MAX_TEXT_LENGTH)).toString();
  return `${start}… (${text.length} characters)`;
}

/** Cuts the texts of an event's details. */
export function boundDetails(details: Event['details']): Event['details'] {
  const values = Object.entries(details);
  return values.some(
    ([, value]) => typeof value === 'string' && value.length > MAX_TEXT_LENGTH,
  )
    ? Object.fromEntries(
        values.map(([name, value]) => [
          name,
          typeof value === 'string' ? boundText(value) : value,
        ]),
      )
    : details;
}

/** Memory that an event takes at most, in bytes. */
export function eventBytes({details, request = ''}: Event): number {
  const texts = Object.values(details).filter(
    value => typeof value === 'string',
  );
  const length = texts.reduce((sum, text) => sum + text.length, request.length);
  return EVENT_BYTES + length * BYTES_PER_CHARACTER;
}
