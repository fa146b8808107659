export {ProcessPort, type PortLimits} from './process-port.js';
export {
  startProcessServer,
  type ProcessServer,
  type ProcessServerOptions,
} from './process-server.js';
