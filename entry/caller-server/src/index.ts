export {
  CallerServer,
  type CallerLimits,
  type CallerServerOptions,
} from './caller-server.js';
