export {
  LINK_SETTINGS,
  LINK_SETTINGS_SCHEMA,
  type LinkSettings,
} from './link-settings.js';
export type {LinkSecurity} from './link-security.js';
export {PlaintextSecurity} from './plaintext-security.js';
export {MutualTlsSecurity} from './mutual-tls-security.js';
export {openLinkSecurity} from './open-link-security.js';
export {OperatorTokenTable} from './operator-token-table.js';
export {isLoopback} from './is-loopback.js';
