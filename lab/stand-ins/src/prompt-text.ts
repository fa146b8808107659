/** The part of a completion's body that is prompt. */
export interface PromptBody {
  readonly messages?: ReadonlyArray<{
    readonly role?: unknown;
    readonly content?: unknown;
  }>;
  readonly prompt?: unknown;
}

/** The text that an engine stand-in prefills; that of a longer conversation begins with it. */
export function promptText({messages, prompt}: PromptBody): string {
  if (messages === undefined) {
    return typeof prompt === 'string' ? prompt : JSON.stringify(prompt ?? '');
  }
  return messages
    .map(({content, role}) => `<${String(role)}>${textOf(content)}`)
    .join('');
}

function textOf(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
