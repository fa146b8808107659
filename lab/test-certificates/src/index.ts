export {createAuthority, type Authority, type KeyPair} from './authority.js';
