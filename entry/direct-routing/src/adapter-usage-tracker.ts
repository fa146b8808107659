import {addCount} from './counts.js';

/** Adapter usage of one engine to report to its agent. */
export interface AdapterUsageReport {
  /** Address of the engine, `host:port`. */
  readonly address: string;
  /** Number of calls started since the last report, by adapter. */
  readonly begun: Array<[string, number]>;
  /** Number of running calls, by adapter. */
  readonly running: Array<[string, number]>;
}

interface EngineUsage {
  readonly begun: Map<string, number>;
  readonly running: Map<string, number>;
  /**
   * Whether the first call for an adapter has started or the last one has ended
   * since the last report.
   */
  hasChanged: boolean;
  reportedAt: number;
}

/**
 * Interval at which all usage is reported again, in milliseconds. Agents drop
 * usage that has not been reported for a few seconds.
 */
const REPEAT_INTERVAL_MS = 1_000;

/** Counts the calls of this entry by engine and adapter. */
export class AdapterUsageTracker {
  private readonly engines = new Map<string, EngineUsage>();

  /** Records the start of a call; the returned function records its end. */
  startUse(address: string, adapter: string): () => void {
    const existing = this.engines.get(address);
    const usage = existing ?? {
      begun: new Map<string, number>(),
      running: new Map<string, number>(),
      hasChanged: true,
      reportedAt: -Infinity,
    };
    this.engines.set(address, usage);
    addCount(usage.begun, adapter, 1);
    usage.hasChanged ||= !usage.running.has(adapter);
    addCount(usage.running, adapter, 1);
    return () => {
      addCount(usage.running, adapter, -1);
      usage.hasChanged ||= !usage.running.has(adapter);
    };
  }

  /**
   * Returns the reports due at time `now`, in milliseconds. A report is due
   * when the set of used adapters has changed, and at least once a second.
   */
  takeDueReports(now: number): AdapterUsageReport[] {
    const reports: AdapterUsageReport[] = [];
    for (const [address, usage] of this.engines) {
      if (usage.hasChanged || now - usage.reportedAt >= REPEAT_INTERVAL_MS) {
        reports.push({
          address,
          begun: [...usage.begun],
          running: [...usage.running],
        });
        usage.begun.clear();
        usage.hasChanged = false;
        usage.reportedAt = now;
        if (usage.running.size === 0) {
          this.engines.delete(address);
        }
      }
    }
    return reports;
  }
}
