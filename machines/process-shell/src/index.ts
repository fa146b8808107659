export {
  ProcessShell,
  type ShellOffer,
  type ShellSettings,
} from './process-shell.js';
