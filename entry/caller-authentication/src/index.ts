export {
  openCallerAuthenticator,
  type CallerAuthenticator,
} from './caller-authenticator.js';
