export {KeyFile, type KeyFileOptions} from './key-file.js';
export {createSchemaParser} from './schema-parser.js';
export {PemFiles, type PemFilesOptions, type PemTexts} from './pem-files.js';
