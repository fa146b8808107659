export {
  ProcessRuntime,
  type ProcessServeOptions,
  type ProcessRuntimeSettings,
} from './process-runtime.js';
