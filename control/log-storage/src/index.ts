export type {AppendFile, FileSystem} from './file-system.js';
export {
  LogStorage,
  openLogStorage,
  type LogStorageOptions,
  type OpenedStorage,
} from './log-storage.js';
export {NodeFileSystem} from './node-file-system.js';
