export {
  readCallerRequest,
  type CallerRequest,
  type ModelRequest,
  type PlainRequest,
  type RequestHead,
} from './read-caller-request.js';
export {modelList, type ModelList} from './model-list.js';
export {refusalBody, writeRefusal} from './write-refusal.js';
export {clientErrorAnswer} from './client-error.js';
