import {unwatchFile, watchFile} from 'node:fs';
import {readFile} from 'node:fs/promises';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';

/** Options of a key file. */
export interface KeyFileOptions<Value> {
  readonly file: string;
  /** Reads the file's text; throws a `Fault` when it is malformed. */
  readonly parse: (text: string) => Value;
  readonly events: EventLog;
  /** Called with each value after the first; throws a `Fault` when it can't be used. */
  readonly onReload?: (value: Value) => void;
  /** Time between looks at the file, in milliseconds. */
  readonly pollMs?: number;
}

const DEFAULT_POLL_MS = 1_000;

/** A file of keys that is read again when it changes. A malformed change is reported, and the last good value stays. */
export class KeyFile<Value> {
  private readonly look = () => void this.reload();

  private constructor(
    private readonly options: KeyFileOptions<Value>,
    private value: Value,
  ) {}

  /** Reads a key file for the first time; throws a `Fault` when it can't be read. */
  static async open<Value>(
    options: KeyFileOptions<Value>,
  ): Promise<KeyFile<Value>> {
    const text = await readFile(options.file, 'utf8');
    const keyFile = new KeyFile(options, options.parse(text));
    const interval = options.pollMs ?? DEFAULT_POLL_MS;
    watchFile(options.file, {interval, persistent: false}, keyFile.look);
    return keyFile;
  }

  /** The latest good value. */
  get current(): Value {
    return this.value;
  }

  /** Reads the file again. */
  async reload(): Promise<void> {
    const {file, events, parse} = this.options;
    try {
      this.value = parse(await readFile(file, 'utf8'));
      this.options.onReload?.(this.value);
      events.record('keys-reloaded', {file});
    } catch (thrown) {
      events.record('keys-rejected', {file, reason: toFault(thrown).message});
    }
  }

  /** Ends the watching. */
  stop(): void {
    unwatchFile(this.options.file, this.look);
  }
}
