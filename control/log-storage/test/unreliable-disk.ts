import path from 'node:path';
import type {AppendFile, FileSystem} from '@marigoldspur/log-storage';

/** A change of a file since its last sync. */
type FileChange =
  | {readonly change: 'append'; readonly at: number; readonly bytes: Uint8Array}
  | {readonly change: 'truncate'; readonly length: number};

class StoredFile {
  bytes = Buffer.alloc(0);
  synced = Buffer.alloc(0);
  unsynced: FileChange[] = [];
}

/** Chooses an integer from 0 to a maximum, inclusive. */
export type Choice = (max: number) => number;

/** The error of each operation after the last one before a loss of power. */
export class PowerLost extends Error {
  constructor() {
    super('power lost');
  }
}

/**
 * An in-memory disk that loses power after a number of operations. Each change of a name
 * that was not synced is then kept or lost independently, and each write that was not
 * synced is present, missing or torn.
 */
export class UnreliableDisk implements FileSystem {
  /** Number of operations until the power is lost. */
  operationsLeft = Infinity;
  /** Number of bytes that can still be written. */
  freeBytes = Infinity;
  private names = new Map<string, StoredFile>();
  /** What each name has stood for since the last sync of its folder, oldest first. */
  private versions = new Map<string, Array<StoredFile | undefined>>();

  /** Names of all files, sorted. */
  get fileNames(): string[] {
    return [...this.names.keys()].sort();
  }

  /** Restores the power after a loss. */
  losePower(choose: Choice): void {
    const kept = new Map<string, StoredFile>();
    for (const [name, versions] of this.versions) {
      const file = versions[choose(versions.length - 1)];
      if (file !== undefined) {
        kept.set(name, file);
      }
    }
    for (const file of new Set(kept.values())) {
      file.bytes = Buffer.from(recoverContent(file, choose));
    }
    this.restart(kept);
  }

  /** Restarts the process after it was killed; all changes are kept but not synced. */
  kill(): void {
    this.operationsLeft = Infinity;
    this.freeBytes = Infinity;
  }

  async makeFolder(): Promise<undefined> {
    return undefined;
  }

  async list(folder: string): Promise<string[]> {
    return this.fileNames
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
    const file = this.names.get(name) ?? new StoredFile();
    if (!this.names.has(name)) {
      this.setName(name, file);
    }
    this.countOperation();
    return {
      append: async bytes => this.append(file, bytes),
      truncate: async length => {
        this.checkPower();
        file.bytes = file.bytes.subarray(0, length);
        file.unsynced.push({change: 'truncate', length});
        this.countOperation();
      },
      sync: async () => {
        this.countOperation();
        file.synced = Buffer.from(file.bytes);
        file.unsynced = [];
      },
      close: async () => {},
    };
  }

  async rename(from: string, to: string): Promise<void> {
    this.checkPower();
    this.setName(to, this.fileOf(from));
    this.setName(from, undefined);
    this.countOperation();
  }

  async remove(name: string): Promise<void> {
    this.checkPower();
    this.fileOf(name);
    this.setName(name, undefined);
    this.countOperation();
  }

  async syncFolder(folder: string): Promise<void> {
    this.countOperation();
    for (const name of this.versions.keys()) {
      if (path.dirname(name) === folder) {
        this.versions.set(name, [this.names.get(name)]);
      }
    }
  }

  private restart(names: Map<string, StoredFile>): void {
    this.names = names;
    this.versions = new Map([...names].map(([name, file]) => [name, [file]]));
    for (const file of names.values()) {
      file.synced = Buffer.from(file.bytes);
      file.unsynced = [];
    }
    this.kill();
  }

  private append(file: StoredFile, bytes: Uint8Array): void {
    this.checkPower();
    const fitting = bytes.subarray(0, Math.min(bytes.length, this.freeBytes));
    this.freeBytes -= fitting.length;
    const at = file.bytes.length;
    file.unsynced.push({change: 'append', at, bytes: Buffer.from(fitting)});
    file.bytes = Buffer.concat([file.bytes, fitting]);
    this.countOperation();
    if (fitting.length < bytes.length) {
      throw Object.assign(new Error('no space left'), {code: 'ENOSPC'});
    }
  }

  private setName(name: string, file: StoredFile | undefined): void {
    const versions = this.versions.get(name) ?? [undefined];
    this.versions.set(name, [...versions, file]);
    if (file === undefined) {
      this.names.delete(name);
    } else {
      this.names.set(name, file);
    }
  }

  private checkPower(): void {
    if (this.operationsLeft <= 0) {
      throw new PowerLost();
    }
  }

  private countOperation(): void {
    this.checkPower();
    this.operationsLeft -= 1;
    this.checkPower();
  }

  private fileOf(name: string): StoredFile {
    const file = this.names.get(name);
    if (file === undefined) {
      throw Object.assign(new Error(`no file ${name}`), {code: 'ENOENT'});
    }
    return file;
  }
}

/** Applies each unsynced change to the synced content wholly, in part or not at all. */
function recoverContent(file: StoredFile, choose: Choice): Buffer {
  let content: Buffer = Buffer.from(file.synced);
  for (const change of file.unsynced) {
    if (change.change === 'truncate') {
      content = choose(1) === 0 ? content : content.subarray(0, change.length);
      continue;
    }
    const {at, bytes} = change;
    const start = choose(2) === 0 ? choose(bytes.length) : 0;
    const end =
      choose(2) === 0 ? start + choose(bytes.length - start) : bytes.length;
    if (start < end) {
      const grown = Buffer.alloc(Math.max(content.length, at + end));
      content.copy(grown);
      grown.set(bytes.subarray(start, end), at + start);
      content = grown;
    }
  }
  return content;
}
