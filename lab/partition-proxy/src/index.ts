export {
  openCutLink,
  type CutLink,
  type CutLinkOptions,
  type LinkState,
} from './cut-link.js';
export {createRedirectVariables} from './redirect-variables.js';
