/** ID and model that a response carries. */
export interface ResponseIdentity {
  readonly id: string;
  readonly model: string;
  /** Whether the response is a chat completion. */
  readonly isChat: boolean;
}

/** Formats one event of a streamed response. */
export function formatStreamEvent(
  identity: ResponseIdentity,
  word: string,
): string {
  const {id, model, isChat: chat} = identity;
  const choice = chat
    ? {index: 0, delta: {role: 'assistant', content: word}, finish_reason: null}
    : {index: 0, text: word, finish_reason: null};
  const object = chat ? 'chat.completion.chunk' : 'text_completion';
  const value = {id, object, created: 0, model, choices: [choice]};
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** The last event of a streamed response. */
export const STREAM_END = 'data: [DONE]\n\n';

/** Formats the body of a response that is not streamed. */
export function formatCompletion(
  identity: ResponseIdentity,
  text: string,
): string {
  const {id, model, isChat: chat} = identity;
  const choice = chat
    ? {
        index: 0,
        message: {role: 'assistant', content: text},
        finish_reason: 'stop',
      }
    : {index: 0, text, finish_reason: 'stop'};
  const object = chat ? 'chat.completion' : 'text_completion';
  return JSON.stringify({id, object, created: 0, model, choices: [choice]});
}
