import type {AgentLoad, LoadChanges} from '@marigoldspur/messages';

interface Row {
  readonly agent: AgentLoad;
  readonly version: number;
}

const MAX_TRACKED_REMOVALS = 1_024;

/** Load reports received by a relay, with a version for each change. */
export class LoadReportStore {
  private readonly rows = new Map<string, Row>();
  private readonly removals = new Map<string, number>();
  private currentVersion = 0;

  /** Version of the store; it increases with each change. */
  get version(): number {
    return this.currentVersion;
  }

  /** Stores the latest load report of an agent. */
  put(agent: AgentLoad): void {
    this.currentVersion += 1;
    this.removals.delete(agent.id);
    this.rows.set(agent.id, {agent, version: this.currentVersion});
  }

  /** Removes the load report of an agent; does nothing if there is none. */
  remove(id: string): void {
    if (!this.rows.delete(id)) {
      return;
    }
    this.currentVersion += 1;
    this.removals.set(id, this.currentVersion);
    if (this.removals.size > MAX_TRACKED_REMOVALS) {
      // A follower that misses a removal keeps a report of a boot that is no longer a member.
      this.removals.delete(this.removals.keys().next().value!);
    }
  }

  /** Returns the changes after a version. */
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
