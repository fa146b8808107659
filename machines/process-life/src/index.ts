export {
  runJob,
  runProcess,
  runTask,
  type JobDefinition,
  type ProcessDefinition,
  type Task,
} from './run-process.js';
export {bootIdentity} from './boot-identity.js';
