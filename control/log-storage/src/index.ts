export {isDiskRefusal} from './disk-errors.js';
export type {AppendFile, FileSystem} from './file-system.js';
export {LogStorage, type LogStorageOptions} from './log-storage.js';
export {NodeFileSystem} from './node-file-system.js';
export {openLogStorage, type OpenedStorage} from './open-log-storage.js';
export {
  setAsideLog,
  type SetAsideFiles,
  type SetAsideOptions,
} from './set-aside.js';
