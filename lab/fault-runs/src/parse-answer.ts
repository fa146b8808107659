/** The fields that a caller reads from the body of an answer. */
export interface ParsedAnswer {
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
const END_OF_STREAM = '[DONE]';

/** Parses the body of a refusal or of an answer from a stand-in, streamed or not. */
export function parseAnswer(
  body: string,
  contentType: string,
  status: number,
): ParsedAnswer {
  const payloads = contentType.startsWith('text/event-stream')
    ? body
        .split('\n')
        .filter(line => line.startsWith(EVENT_PREFIX))
        .map(line => line.slice(EVENT_PREFIX.length))
        .filter(data => data !== END_OF_STREAM)
    : [body];
  const completions = payloads.map(parseCompletion);
  const text = completions.map(
    completion => completion.choices?.[0]?.text ?? completion.body ?? '',
  );
  const {error} = completions[0] ?? {};
  return {
    text: text.join(''),
    ...(completions[0]?.model !== undefined && {model: completions[0].model}),
    ...(status >= 400 && {outcome: error?.outcome, reason: error?.code}),
  };
}

function parseCompletion(text: string): Completion {
  try {
    return JSON.parse(text) as Completion;
  } catch {
    return {};
  }
}
