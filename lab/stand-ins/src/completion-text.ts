/** Identity that an answer carries. */
export interface AnswerIdentity {
  readonly id: string;
  readonly model: string;
  /** Whether it answers a chat completion. */
  readonly chat: boolean;
}

/** One event of a streamed answer. */
export function streamEvent(identity: AnswerIdentity, word: string): string {
  const {id, model, chat} = identity;
  const choice = chat
    ? {index: 0, delta: {role: 'assistant', content: word}, finish_reason: null}
    : {index: 0, text: word, finish_reason: null};
  const object = chat ? 'chat.completion.chunk' : 'text_completion';
  const value = {id, object, created: 0, model, choices: [choice]};
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** The last event of a streamed answer. */
export const STREAM_END = 'data: [DONE]\n\n';

/** A whole answer. */
export function wholeAnswer(identity: AnswerIdentity, text: string): string {
  const {id, model, chat} = identity;
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
