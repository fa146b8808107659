export {runCommandLine, type CommandLineOptions} from './command-line.js';
