export {
  ConnectionGuard,
  type CloseReason,
  type ConnectionGuardOptions,
} from './connection-guard.js';
export {headerObjectBytes} from './header-objects.js';
export {stopParsing} from './stop-parsing.js';
