export {
  openCutLink,
  type CutLink,
  type CutLinkOptions,
  type LinkState,
} from './cut-link.js';
export {redirectVariables} from './redirect-variables.js';
