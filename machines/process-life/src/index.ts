export {runProcess, type ProcessDefinition, type Task} from './run-process.js';
export {bootIdentity} from './boot-identity.js';
