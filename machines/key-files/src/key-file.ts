import {unwatchFile, watchFile} from 'node:fs';
import {readFile} from 'node:fs/promises';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';

/** Options of a key file. */
export interface KeyFileOptions<Value> {
  readonly file: string;
  /** Parses the file's text; throws a `Fault` if it is malformed. */
  readonly parse: (text: string) => Value;
  readonly events: EventLog;
  /** Called with each value after the first; throws a `Fault` if the value cannot be used. */
  readonly onReload?: (value: Value) => void;
  /** Interval at which the file is checked for changes, in milliseconds. */
  readonly pollMs?: number;
}

const DEFAULT_POLL_INTERVAL_MS = 1_000;

/** A file of keys that is reloaded when it changes. A malformed change is reported and the last valid value stays in use. */
export class KeyFile<Value> {
  private readonly onChange = () => void this.reload();

  private constructor(
    private readonly options: KeyFileOptions<Value>,
    private value: Value,
  ) {}

  /** Reads a key file for the first time; throws if it cannot be read or is malformed. */
  static async open<Value>(
    options: KeyFileOptions<Value>,
  ): Promise<KeyFile<Value>> {
    const text = await readFile(options.file, 'utf8');
    const keyFile = new KeyFile(options, options.parse(text));
    const interval = options.pollMs ?? DEFAULT_POLL_INTERVAL_MS;
    watchFile(options.file, {interval, persistent: false}, keyFile.onChange);
    return keyFile;
  }

  /** The latest valid value. */
  get current(): Value {
    return this.value;
  }

  /** Reloads the file and records whether it was accepted; does not throw. */
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

  /** Stops watching the file. */
  stop(): void {
    unwatchFile(this.options.file, this.onChange);
  }
}
