export {
  runJob,
  runProcess,
  type JobDefinition,
  type ProcessDefinition,
} from './run-process.js';
export {runTask, type Task} from './run-task.js';
export {createBootId} from './boot-id.js';
