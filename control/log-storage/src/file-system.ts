/** A file that is only appended to and cut at its end. */
export interface AppendFile {
  /** Writes at the end; all or, on an error, an unknown part. */
  append(bytes: Uint8Array): Promise<void>;
  /** Cuts the file to a length in bytes. */
  truncate(length: number): Promise<void>;
  /** Resolves once everything written is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The file operations of the log; tests put a failing disk in its place. */
export interface FileSystem {
  makeFolder(folder: string): Promise<void>;
  /** Names of the files of a folder. */
  list(folder: string): Promise<string[]>;
  read(file: string): Promise<Uint8Array>;
  /** Opens a file for appending; makes it where it is missing. */
  open(file: string): Promise<AppendFile>;
  rename(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Resolves once the names in a folder are on the disk. */
  syncFolder(folder: string): Promise<void>;
}
