export {runCommandLine, type CommandLineOptions} from './run-command-line.js';
export {EXIT, type Console} from './command.js';
