export {KeyFile, type KeyFileOptions} from './key-file.js';
export {parseWith} from './parse-with.js';
export {PemFiles, type PemFilesOptions, type PemTexts} from './pem-files.js';
