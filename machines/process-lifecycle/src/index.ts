export {
  runJob,
  runProcess,
  runTask,
  type JobDefinition,
  type ProcessDefinition,
  type Task,
} from './run-process.js';
export {createBootId} from './boot-id.js';
