/** A file that supports only appending and truncating. */
export interface AppendFile {
  /** Appends bytes. After an error an unknown part of them may have been written. */
  append(bytes: Uint8Array): Promise<void>;
  /** Truncates the file to a length in bytes. */
  truncate(length: number): Promise<void>;
  /** Resolves once all written bytes are on disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** The file operations of the log; tests replace them to simulate disk faults. */
export interface FileSystem {
  /** Creates a folder and those above it; resolves to the first one that was created, if any. */
  makeFolder(folder: string): Promise<string | undefined>;
  /** Lists the names of the files in a folder. */
  list(folder: string): Promise<string[]>;
  read(file: string): Promise<Uint8Array>;
  /** Resolves to the length of a file in bytes. */
  size(file: string): Promise<number>;
  /** Opens a file for appending and creates it if it does not exist. */
  open(file: string): Promise<AppendFile>;
  rename(from: string, to: string): Promise<void>;
  remove(file: string): Promise<void>;
  /** Resolves once the directory entries of a folder are on disk. */
  syncFolder(folder: string): Promise<void>;
}
