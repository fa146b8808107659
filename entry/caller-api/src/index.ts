export {
  readCallerRequest,
  type CallerRequest,
  type ModelRequest,
  type PlainRequest,
  type RequestHead,
} from './read-caller-request.js';
export {listModels, type ModelList} from './list-models.js';
export {formatRefusalBody, writeRefusal} from './write-refusal.js';
export {formatClientErrorResponse} from './client-error.js';
