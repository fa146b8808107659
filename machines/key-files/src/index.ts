export {KeyFile, type KeyFileOptions} from './key-file.js';
export {parseWith} from './parse-with.js';
