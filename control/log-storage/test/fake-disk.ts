import path from 'node:path';
import type {AppendFile, FileSystem} from '@marigoldspur/log-storage';

class StoredFile {
  bytes = Buffer.alloc(0);
  synced = Buffer.alloc(0);
}

/** A disk in memory that power loss, lack of room and failing syncs can befall. */
export class FakeDisk implements FileSystem {
  /** Bytes that may still be written. */
  freeBytes = Infinity;
  /** Whether syncs of files fail. */
  failsSync = false;
  /** Whether syncs of folders do nothing, as with the mechanism left out. */
  skipsFolderSync = false;
  /** Syncs of files so far. */
  syncCount = 0;
  private readonly names = new Map<string, StoredFile>();
  private readonly syncedNames = new Map<string, StoredFile>();

  /** Drops everything that was not synced. */
  losePower(): void {
    this.names.clear();
    for (const [name, file] of this.syncedNames) {
      file.bytes = Buffer.from(file.synced);
      this.names.set(name, file);
    }
  }

  /** Names of the files that hold something. */
  filesWithPrefix(prefix: string): string[] {
    return [...this.names.keys()]
      .filter(name => path.basename(name).startsWith(prefix))
      .sort();
  }

  contentOf(name: string): Buffer {
    return this.fileOf(name).bytes;
  }

  /** Overwrites what is on the disk. */
  setContent(name: string, bytes: Uint8Array): void {
    const file = this.fileOf(name);
    file.bytes = Buffer.from(bytes);
    file.synced = Buffer.from(bytes);
  }

  /** Appends bytes that no sync made durable, but that power loss left. */
  appendTornWrite(name: string, bytes: Uint8Array): void {
    this.setContent(name, Buffer.concat([this.contentOf(name), bytes]));
  }

  copy(): FakeDisk {
    const copy = new FakeDisk();
    for (const [name, file] of this.names) {
      const stored = new StoredFile();
      stored.bytes = Buffer.from(file.bytes);
      stored.synced = Buffer.from(file.synced);
      copy.names.set(name, stored);
      if (this.syncedNames.has(name)) {
        copy.syncedNames.set(name, stored);
      }
    }
    return copy;
  }

  async makeFolder(): Promise<void> {}

  async list(folder: string): Promise<string[]> {
    return [...this.names.keys()]
      .filter(name => path.dirname(name) === folder)
      .map(name => path.basename(name));
  }

  async read(name: string): Promise<Uint8Array> {
    return Buffer.from(this.fileOf(name).bytes);
  }

  async open(name: string): Promise<AppendFile> {
    const file = this.names.get(name) ?? new StoredFile();
    this.names.set(name, file);
    return {
      append: async bytes => this.append(file, bytes),
      truncate: async length => {
        file.bytes = file.bytes.subarray(0, length);
      },
      sync: async () => {
        if (this.failsSync) {
          throw Object.assign(new Error('input/output error'), {code: 'EIO'});
        }
        this.syncCount += 1;
        file.synced = Buffer.from(file.bytes);
      },
      close: async () => {},
    };
  }

  async rename(from: string, to: string): Promise<void> {
    this.names.set(to, this.fileOf(from));
    this.names.delete(from);
  }

  async remove(name: string): Promise<void> {
    this.fileOf(name);
    this.names.delete(name);
  }

  async syncFolder(folder: string): Promise<void> {
    if (this.skipsFolderSync) {
      return;
    }
    const inFolder = (name: string) => path.dirname(name) === folder;
    for (const name of [...this.syncedNames.keys()].filter(inFolder)) {
      this.syncedNames.delete(name);
    }
    for (const [name, file] of this.names) {
      if (inFolder(name)) {
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
