/** The fields of a completion request that make up the prompt. */
export interface PromptBody {
  readonly messages?: ReadonlyArray<{
    readonly role?: unknown;
    readonly content?: unknown;
  }>;
  readonly prompt?: unknown;
}

/**
 * Formats the text that an engine stand-in prefills. The text of each turn of a
 * conversation begins with the text of the preceding turn.
 */
export function formatPromptText({messages, prompt}: PromptBody): string {
  if (messages === undefined) {
    return typeof prompt === 'string' ? prompt : JSON.stringify(prompt ?? '');
  }
  return messages
    .map(({content, role}) => `<${String(role)}>${formatContent(content)}`)
    .join('');
}

function formatContent(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
