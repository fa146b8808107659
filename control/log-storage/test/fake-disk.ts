import path from 'node:path';
import type {AppendFile, FileSystem} from '@marigoldspur/log-storage';

class StoredFile {
  bytes = Buffer.alloc(0);
  synced = Buffer.alloc(0);
  /** Range of bytes that a failed sync dropped: a later sync stores them only if they are written again. */
  dropped?: {readonly from: number; readonly to: number};
}

/** An operation that changes the disk. */
export type DiskOperation =
  | 'makeFolder'
  | 'open'
  | 'append'
  | 'truncate'
  | 'sync'
  | 'close'
  | 'rename'
  | 'remove'
  | 'syncFolder';

/** An in-memory disk that simulates power loss, lack of space and failing syncs. */
export class FakeDisk implements FileSystem {
  /** Number of bytes that can still be written. */
  freeBytes = Infinity;
  /** Whether files can't be truncated for lack of space, as on copy-on-write file systems. */
  refusesTruncation = false;
  /** Whether file syncs have no effect, as if the process were killed before them. */
  skipsFileSync = false;
  /** Whether folder syncs have no effect, to check that a test depends on them. */
  skipsFolderSync = false;
  /** Called before each operation, with the path; an exception makes the operation fail. */
  beforeOperation: (operation: DiskOperation, name: string) => void = () => {};
  /** Number of file syncs so far. */
  syncCount = 0;
  private readonly names = new Map<string, StoredFile>();
  private readonly syncedNames = new Map<string, StoredFile>();

  /** Simulates power loss: drops all data that was not synced. */
  losePower(): void {
    this.names.clear();
    for (const [name, file] of this.syncedNames) {
      file.bytes = Buffer.from(file.synced);
      file.dropped = undefined;
      this.names.set(name, file);
    }
  }

  /** Paths of the files whose names start with a prefix, sorted. */
  filesWithPrefix(prefix: string): string[] {
    return [...this.names.keys()]
      .filter(name => path.basename(name).startsWith(prefix))
      .sort();
  }

  contentOf(name: string): Buffer {
    return this.fileOf(name).bytes;
  }

  /** Replaces the content of a file, as if it were synced. */
  setContent(name: string, bytes: Uint8Array): void {
    const file = this.fileOf(name);
    file.bytes = Buffer.from(bytes);
    file.synced = Buffer.from(bytes);
  }

  /** Appends bytes of an unsynced write that reached the disk before a power loss. */
  appendTornWrite(name: string, bytes: Uint8Array): void {
    this.setContent(name, Buffer.concat([this.contentOf(name), bytes]));
  }

  copy(): FakeDisk {
    const copy = new FakeDisk();
    for (const [name, file] of this.names) {
      const stored = new StoredFile();
      stored.bytes = Buffer.from(file.bytes);
      stored.synced = Buffer.from(file.synced);
      stored.dropped = file.dropped;
      copy.names.set(name, stored);
      if (this.syncedNames.has(name)) {
        copy.syncedNames.set(name, stored);
      }
    }
    return copy;
  }

  async makeFolder(folder: string): Promise<undefined> {
    this.beforeOperation('makeFolder', folder);
    return undefined;
  }

  async list(folder: string): Promise<string[]> {
    return [...this.names.keys()]
      .filter(name => path.dirname(name) === folder)
      .map(name => path.basename(name));
  }

  async read(name: string): Promise<Uint8Array> {
    return Buffer.from(this.fileOf(name).bytes);
  }

  async size(name: string): Promise<number> {
    return this.fileOf(name).bytes.length;
  }

  async open(name: string): Promise<AppendFile> {
    this.beforeOperation('open', name);
    const file = this.names.get(name) ?? new StoredFile();
    this.names.set(name, file);
    return {
      append: async bytes => {
        this.beforeOperation('append', name);
        this.append(file, bytes);
      },
      truncate: async length => {
        this.beforeOperation('truncate', name);
        if (this.refusesTruncation) {
          throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
        }
        file.bytes = file.bytes.subarray(0, length);
        if (file.dropped !== undefined && length <= file.dropped.from) {
          file.dropped = undefined;
        }
      },
      sync: async () => {
        try {
          this.beforeOperation('sync', name);
        } catch (thrown) {
          file.dropped = {from: file.synced.length, to: file.bytes.length};
          throw thrown;
        }
        this.syncCount += 1;
        if (this.skipsFileSync) {
          return;
        }
        file.synced = Buffer.from(file.bytes);
        file.synced.fill(0, file.dropped?.from ?? 0, file.dropped?.to ?? 0);
      },
      close: async () => this.beforeOperation('close', name),
    };
  }

  async rename(from: string, to: string): Promise<void> {
    this.beforeOperation('rename', to);
    this.names.set(to, this.fileOf(from));
    this.names.delete(from);
  }

  async remove(name: string): Promise<void> {
    this.beforeOperation('remove', name);
    this.fileOf(name);
    this.names.delete(name);
  }

  async syncFolder(folder: string): Promise<void> {
    this.beforeOperation('syncFolder', folder);
    if (this.skipsFolderSync) {
      return;
    }
    const isInFolder = (name: string) => path.dirname(name) === folder;
    for (const name of [...this.syncedNames.keys()].filter(isInFolder)) {
      this.syncedNames.delete(name);
    }
    for (const [name, file] of this.names) {
      if (isInFolder(name)) {
        this.syncedNames.set(name, file);
      }
    }
  }

  private append(file: StoredFile, bytes: Uint8Array): void {
    const fitting = bytes.subarray(0, Math.min(bytes.length, this.freeBytes));
    this.freeBytes -= fitting.length;
    file.bytes = Buffer.concat([file.bytes, fitting]);
    if (fitting.length < bytes.length) {
      throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
    }
  }

  private fileOf(name: string): StoredFile {
    const file = this.names.get(name);
    if (file === undefined) {
      throw Object.assign(new Error(`no file ${name}`), {code: 'ENOENT'});
    }
    return file;
  }
}
