import type {LoadChanges, LoadReport, Member} from '@marigoldspur/messages';

interface Row {
  readonly source: string;
  readonly boot: string;
  readonly load: LoadReport;
}

/** Reports of a source that was lost are used for this long, in milliseconds. */
const HOLD_MS = 5_000;

/**
 * The load reports that an entry got from the relays of its region, of which each
 * agent's latest counts. They are hints: where there is none, or its relay is lost,
 * what control holds of the agent is used.
 */
export class LoadReportCache {
  private readonly rows = new Map<string, Row>();
  private readonly lostAt = new Map<string, number>();

  /** Takes what a source tells; the first message of a stream replaces all that it told before. */
  applyChanges(source: string, changes: LoadChanges, isFirst: boolean): void {
    if (isFirst) {
      this.forget(source);
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

  /** Takes note at time `now`, in milliseconds, that a source gives no more reports. */
  markSourceLost(source: string, now: number): void {
    if (!this.lostAt.has(source)) {
      this.lostAt.set(source, now);
    }
  }

  /** Drops the reports of sources that were lost too long before `now`, in milliseconds. */
  expire(now: number): void {
    for (const [source, at] of this.lostAt) {
      if (now - at > HOLD_MS) {
        this.forget(source);
        this.lostAt.delete(source);
      }
    }
  }

  /** The load report of a member, where one is known. */
  loadOf(member: Member): LoadReport | undefined {
    const row = this.rows.get(member.id);
    return row?.boot === member.boot ? row.load : member.target?.load;
  }

  private forget(source: string): void {
    for (const [id, row] of this.rows) {
      if (row.source === source) {
        this.rows.delete(id);
      }
    }
  }
}
