import type {AgentLoad, LoadChanges} from '@marigoldspur/messages';

interface Row {
  readonly agent: AgentLoad;
  readonly version: number;
}

const MAX_KEPT_REMOVALS = 1_024;

/** The load reports that a relay hears, with a version for each change. */
export class LoadReportStore {
  private readonly rows = new Map<string, Row>();
  private readonly removals = new Map<string, number>();
  private currentVersion = 0;

  /** Version of the board; it rises with each change. */
  get version(): number {
    return this.currentVersion;
  }

  put(agent: AgentLoad): void {
    this.currentVersion += 1;
    this.removals.delete(agent.id);
    this.rows.set(agent.id, {agent, version: this.currentVersion});
  }

  remove(id: string): void {
    if (!this.rows.delete(id)) {
      return;
    }
    this.currentVersion += 1;
    this.removals.set(id, this.currentVersion);
    if (this.removals.size > MAX_KEPT_REMOVALS) {
      // Who misses a removal keeps a report of a boot that is no member any more.
      this.removals.delete(this.removals.keys().next().value!);
    }
  }

  /** What changed after a version. */
  changesAfter(version: number): LoadChanges {
    const changed = [...this.rows.values()].filter(
      row => row.version > version,
    );
    const removed = [...this.removals].filter(([, at]) => at > version);
    return {
      changed: changed.map(row => row.agent),
      removed: removed.map(([id]) => id),
    };
  }
}
