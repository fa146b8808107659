/** The fields of a completion request that make up the prompt. */
export interface PromptBody {
  readonly messages?: ReadonlyArray<{
    readonly role?: unknown;
    readonly content?: unknown;
  }>;
  readonly prompt?: unknown;
}

/**
 * The text that an engine stand-in prefills; each turn of a conversation extends the
 * text before.
 */
export function promptText({messages, prompt}: PromptBody): string {
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
