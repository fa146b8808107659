export {
  runJob,
  runProcess,
  type JobDefinition,
  type ProcessDefinition,
  type Task,
} from './run-process.js';
export {bootIdentity} from './boot-identity.js';
