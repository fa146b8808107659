import {
  MAX_RECORDS,
  type CrashReport,
  type PartSighting,
} from '@marigoldspur/deployment';

/** A crash report with the time of the crash on this process's clock. */
export interface DatedReport {
  readonly report: CrashReport;
  /** Time of the crash, in milliseconds. */
  readonly at: number;
}

/** Records of crashes and of the parts of prompts concerned. */
export interface PartRecords {
  readonly reports: CrashReport[];
  readonly sightings: PartSighting[];
}

interface DatedSighting {
  readonly sighting: PartSighting;
  readonly at: number;
}

/**
 * Time after a crash, or after the last refusal of a call with one of its parts, for which
 * the report is kept, in milliseconds.
 */
const RETENTION_MS = 1_800_000;
/** Sightings of a part that are closer to each other count as one, in milliseconds. */
const SIGHTING_RESOLUTION_MS = 50;

/**
 * The crash records of all entries. Records may arrive more than once and in any order;
 * their ages are turned into times of this process's clock.
 */
export class CrashLedger {
  private readonly reports = new Map<string, DatedReport>();
  private readonly sightings = new Map<string, DatedSighting>();

  /** Adds records at time `now`, in milliseconds; returns those that were not known. */
  add(records: PartRecords, now: number): PartRecords {
    this.removeExpired(now);
    const reports = records.reports.filter(report =>
      this.addReport(report, now),
    );
    const sightings = records.sightings.filter(sighting =>
      this.addSighting(sighting, now),
    );
    this.removeExpired(now);
    return {reports, sightings};
  }

  /** Returns all records with their ages at time `now`. */
  records(now: number): PartRecords {
    return {
      reports: [...this.reports.values()].map(({at, report}) => ({
        ...report,
        ageMs: Math.max(0, now - at),
      })),
      sightings: [...this.sightings.values()].map(({at, sighting}) => ({
        ...sighting,
        ageMs: Math.max(0, now - at),
      })),
    };
  }

  /** The reports, in the order in which they became known. */
  datedReports(): readonly DatedReport[] {
    return [...this.reports.values()];
  }

  /** When a part was last sighted; undefined if it is not known. */
  lastSightedAt(
    kind: PartSighting['kind'],
    model: string,
    part: string,
  ): number | undefined {
    return this.sightings.get(sightingKey({kind, model, part}))?.at;
  }

  /** Returns those of the records that others lack. */
  recordsMissingIn(others: PartRecords, now: number): PartRecords {
    const known = new CrashLedger();
    known.add(others, now);
    return known.add(this.records(now), now);
  }

  private removeExpired(now: number): void {
    for (const [key, dated] of this.reports) {
      if (now - this.lastRelevantAt(dated) > RETENTION_MS) {
        this.reports.delete(key);
      }
    }
    for (const [key, {at}] of this.sightings) {
      if (now - at > RETENTION_MS) {
        this.sightings.delete(key);
      }
    }
    removeOldest(this.reports);
    removeOldest(this.sightings);
  }

  private lastRelevantAt({at, report}: DatedReport): number {
    const refusals = report.parts.map(
      part => this.lastSightedAt('refused', report.model, part) ?? 0,
    );
    return Math.max(at, ...refusals);
  }

  private addReport(report: CrashReport, now: number): boolean {
    const key = [
      report.target,
      report.bornAt,
      report.model,
      report.prompt,
    ].join(' ');
    const known = this.reports.get(key);
    if (known !== undefined && (known.report.hasHead || !report.hasHead)) {
      return false;
    }
    this.reports.set(key, {report, at: now - report.ageMs});
    return true;
  }

  private addSighting(sighting: PartSighting, now: number): boolean {
    const key = sightingKey(sighting);
    const at = now - sighting.ageMs;
    const known = this.sightings.get(key);
    if (known !== undefined && at - known.at < SIGHTING_RESOLUTION_MS) {
      return false;
    }
    this.sightings.delete(key);
    this.sightings.set(key, {sighting, at});
    return true;
  }
}

function sightingKey({
  kind,
  model,
  part,
}: Pick<PartSighting, 'kind' | 'model' | 'part'>): string {
  return `${kind} ${model} ${part}`;
}

/** Drops the entries that were added first, down to the maximum. */
function removeOldest(map: Map<string, unknown>): void {
  for (const key of map.keys()) {
    if (map.size <= MAX_RECORDS) {
      return;
    }
    map.delete(key);
  }
}
