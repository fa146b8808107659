/** What a caller reads from the body of an answer. */
export interface AnswerText {
  readonly text: string;
  readonly model?: string;
  readonly outcome?: string;
  readonly reason?: string;
}

interface Completion {
  readonly model?: string;
  readonly body?: string;
  readonly choices?: ReadonlyArray<{readonly text?: string}>;
  readonly error?: {readonly outcome?: string; readonly code?: string};
}

const EVENT_PREFIX = 'data: ';
const LAST_EVENT = '[DONE]';

/** Reads an answer of the stand-ins or a refusal. */
export function readAnswerText(
  body: string,
  contentType: string,
  status: number,
): AnswerText {
  const values = contentType.startsWith('text/event-stream')
    ? body
        .split('\n')
        .filter(line => line.startsWith(EVENT_PREFIX))
        .map(line => line.slice(EVENT_PREFIX.length))
        .filter(data => data !== LAST_EVENT)
    : [body];
  const parsed = values.map(parse);
  const text = parsed.map(
    value => value.choices?.[0]?.text ?? value.body ?? '',
  );
  const {error} = parsed[0] ?? {};
  return {
    text: text.join(''),
    ...(parsed[0]?.model !== undefined && {model: parsed[0].model}),
    ...(status >= 400 && {outcome: error?.outcome, reason: error?.code}),
  };
}

function parse(text: string): Completion {
  try {
    return JSON.parse(text) as Completion;
  } catch {
    return {};
  }
}
