import type {Call} from './call.js';

/** What identifies the request when it is sent again, and its prompt, for the log. */
export function describeRequest(call: Call): Record<string, string> {
  return {fingerprint: call.fingerprint(), ...describePrompt(call)};
}

/** The model and the parts of the prompt, for the log. */
export function describePrompt({
  metadata: {work},
}: Call): Record<string, string> {
  return work === undefined
    ? {}
    : {model: work.model, parts: work.parts.map(({id}) => id).join(' ')};
}
