import type {LoadChanges, LoadReport, Member} from '@marigoldspur/messages';

interface Row {
  readonly source: string;
  readonly boot: string;
  readonly load: LoadReport;
}

/** Time for which the reports of a lost source are still used, in milliseconds. */
const LOST_SOURCE_RETENTION_MS = 5_000;

/**
 * The latest load report of each agent, as received by an entry from the relays of its
 * region. The reports are hints: without a report, or after the loss of its relay, the
 * load in the agent's member record is used.
 */
export class LoadReportCache {
  private readonly rows = new Map<string, Row>();
  private readonly lostAt = new Map<string, number>();

  /** Applies changes of a source; the first message of a stream replaces all its earlier reports. */
  applyChanges(source: string, changes: LoadChanges, isFirst: boolean): void {
    if (isFirst) {
      this.removeSource(source);
    }
    this.lostAt.delete(source);
    for (const {id, boot, load} of changes.changed) {
      this.rows.set(id, {source, boot, load});
    }
    for (const id of changes.removed) {
      if (this.rows.get(id)?.source === source) {
        this.rows.delete(id);
      }
    }
  }

  /** Records that a source was lost at time `now`, in milliseconds. */
  markSourceLost(source: string, now: number): void {
    if (!this.lostAt.has(source)) {
      this.lostAt.set(source, now);
    }
  }

  /** Drops the reports of sources whose retention has ended at time `now`, in milliseconds. */
  expire(now: number): void {
    for (const [source, at] of this.lostAt) {
      if (now - at > LOST_SOURCE_RETENTION_MS) {
        this.removeSource(source);
        this.lostAt.delete(source);
      }
    }
  }

  /**
   * Returns the latest load report of a member: the one from a relay, or else the one in
   * the member record; undefined if there is neither.
   */
  loadOf(member: Member): LoadReport | undefined {
    const row = this.rows.get(member.id);
    return row?.boot === member.boot ? row.load : member.target?.load;
  }

  private removeSource(source: string): void {
    for (const [id, row] of this.rows) {
      if (row.source === source) {
        this.rows.delete(id);
      }
    }
  }
}
