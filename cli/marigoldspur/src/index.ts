export {runCommandLine, type CommandLineOptions} from './run-command-line.js';
export {EXIT_CODES, type CommandOutput} from './command.js';
