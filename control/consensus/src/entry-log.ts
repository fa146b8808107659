import {EMPTY_CONFIGURATION, type Configuration} from './configuration.js';
import type {Entry, LogPosition, SnapshotMetadata} from './entry.js';

interface ConfigurationChange {
  readonly index: number;
  readonly configuration: Configuration;
}

/** The in-memory log of a replica: the entries after the compacted prefix. */
export class EntryLog {
  private base: SnapshotMetadata = {
    index: 0,
    term: 0,
    configuration: EMPTY_CONFIGURATION,
  };
  private entries: Entry[] = [];
  private configurations: ConfigurationChange[] = [];

  constructor(base: SnapshotMetadata | undefined, entries: readonly Entry[]) {
    if (base !== undefined) {
      this.base = base;
    }
    this.truncateAndAppend(entries);
  }

  /** Position before the first retained entry, and the configuration at that position. */
  get compactedTo(): SnapshotMetadata {
    return this.base;
  }

  /** Position of the last entry. */
  get last(): LogPosition {
    return this.entries.at(-1) ?? this.base;
  }

  /** The term of an entry; undefined if the entry is compacted or does not exist. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) {
      return this.base.term;
    }
    return this.entryAt(index)?.term;
  }

  /** The configuration in effect: the latest one in the log, committed or not. */
  get configuration(): Configuration {
    return this.configurations.at(-1)?.configuration ?? this.base.configuration;
  }

  /** Index of the entry that holds the configuration in effect. */
  get configurationIndex(): number {
    return this.configurations.at(-1)?.index ?? this.base.index;
  }

  /** The configuration in effect at an index. */
  configurationAt(index: number): Configuration {
    const latest = this.configurations.findLast(
      change => change.index <= index,
    );
    return latest?.configuration ?? this.base.configuration;
  }

  /**
   * Entries from `index` on, limited to `maxBytes` and `maxCount`. If there are any
   * entries, at least one is returned, even if it exceeds `maxBytes`.
   */
  entriesFrom(index: number, maxBytes: number, maxCount: number): Entry[] {
    const first = index - this.base.index - 1;
    const taken: Entry[] = [];
    let bytes = 0;
    for (let offset = first; offset < this.entries.length; offset += 1) {
      bytes += this.entries[offset].bytes;
      if (taken.length > 0 && (bytes > maxBytes || taken.length >= maxCount)) {
        break;
      }
      taken.push(this.entries[offset]);
    }
    return taken;
  }

  /** Entries after index `from`, up to and including index `to`. */
  entriesBetween(from: number, to: number): Entry[] {
    const start = this.base.index;
    return this.entries.slice(
      Math.max(0, from - start),
      Math.max(0, to - start),
    );
  }

  /** Size of the retained entries after index `from`, up to and including index `to`, in bytes. */
  bytesBetween(from: number, to: number): number {
    return this.entriesBetween(from, to).reduce(
      (sum, {bytes}) => sum + bytes,
      0,
    );
  }

  /**
   * The lowest index after which the entries up to and including index `to` are at most
   * `maxCount` and together at most `maxBytes`.
   */
  indexBefore(to: number, maxCount: number, maxBytes: number): number {
    let index = to;
    let bytes = this.entryAt(index)?.bytes ?? Infinity;
    while (to - index < maxCount && bytes <= maxBytes) {
      index -= 1;
      bytes += this.entryAt(index)?.bytes ?? Infinity;
    }
    return index;
  }

  /** Removes the entries from the first new index on, then appends the new entries. */
  truncateAndAppend(entries: readonly Entry[]): void {
    if (entries.length === 0) {
      return;
    }
    const first = entries[0].index;
    this.entries.length = first - this.base.index - 1;
    this.configurations = this.configurations.filter(
      change => change.index < first,
    );
    for (const entry of entries) {
      this.entries.push(entry);
      if (entry.content.kind === 'configuration') {
        const {configuration} = entry.content;
        this.configurations.push({index: entry.index, configuration});
      }
    }
  }

  /** The first retained index with the same term as the entry at `index`. */
  firstIndexOfTerm(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.base.index && this.termAt(first - 1) === term) {
      first -= 1;
    }
    return first;
  }

  /** Drops the entries up to and including an index. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined || index <= this.base.index) {
      return;
    }
    const configuration = this.configurationAt(index);
    this.entries = this.entries.slice(index - this.base.index);
    this.configurations = this.configurations.filter(
      change => change.index > index,
    );
    this.base = {index, term, configuration};
  }

  /** Drops all entries; the log continues after a snapshot. */
  reset(snapshot: SnapshotMetadata): void {
    this.base = snapshot;
    this.entries = [];
    this.configurations = [];
  }

  private entryAt(index: number): Entry | undefined {
    return this.entries[index - this.base.index - 1];
  }
}
