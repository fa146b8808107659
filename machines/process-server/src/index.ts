export {
  startProcessServer,
  type ProcessServer,
  type ProcessServerOptions,
} from './process-server.js';
