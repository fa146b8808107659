import {
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  stat,
  type FileHandle,
} from 'node:fs/promises';
import type {AppendFile, FileSystem} from './file-system.js';

/** File system backed by `node:fs`. */
export class NodeFileSystem implements FileSystem {
  makeFolder(folder: string): Promise<string | undefined> {
    return mkdir(folder, {recursive: true});
  }

  list(folder: string): Promise<string[]> {
    return readdir(folder);
  }

  read(file: string): Promise<Uint8Array> {
    return readFile(file);
  }

  async size(file: string): Promise<number> {
    return (await stat(file)).size;
  }

  async open(file: string): Promise<AppendFile> {
    return new NodeAppendFile(await open(file, 'a'));
  }

  rename(from: string, to: string): Promise<void> {
    return rename(from, to);
  }

  remove(file: string): Promise<void> {
    return rm(file);
  }

  async syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }
}

class NodeAppendFile implements AppendFile {
  constructor(private readonly handle: FileHandle) {}

  async append(bytes: Uint8Array): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const rest = bytes.subarray(written);
      written += (await this.handle.write(rest)).bytesWritten;
    }
  }

  truncate(length: number): Promise<void> {
    return this.handle.truncate(length);
  }

  sync(): Promise<void> {
    return this.handle.datasync();
  }

  close(): Promise<void> {
    return this.handle.close();
  }
}
