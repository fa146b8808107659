import {addCount} from './counts.js';

/** Use of one engine's adapters that its agent is to be told. */
export interface AdapterUsageReport {
  readonly address: string;
  readonly begun: Array<[string, number]>;
  readonly running: Array<[string, number]>;
}

interface EngineUses {
  readonly begun: Map<string, number>;
  readonly running: Map<string, number>;
  /** Whether the first call for an adapter began, or the last one ended. */
  changed: boolean;
  toldAt: number;
}

/** Agents forget what they were not told again for some seconds, in milliseconds. */
const REPEAT_MS = 1_000;

/** Counts the calls of this entry by engine and adapter. */
export class AdapterUsageTracker {
  private readonly engines = new Map<string, EngineUses>();

  /** A call begins; the returned function ends it. */
  startUse(address: string, adapter: string): () => void {
    const known = this.engines.get(address);
    const engine = known ?? {
      begun: new Map<string, number>(),
      running: new Map<string, number>(),
      changed: true,
      toldAt: -Infinity,
    };
    this.engines.set(address, engine);
    addCount(engine.begun, adapter, 1);
    engine.changed ||= !engine.running.has(adapter);
    addCount(engine.running, adapter, 1);
    return () => {
      addCount(engine.running, adapter, -1);
      engine.changed ||= !engine.running.has(adapter);
    };
  }

  /** What is to be told at time `now`, in milliseconds: which adapters are in use when that changes, and all each second. */
  takeDueReports(now: number): AdapterUsageReport[] {
    const due: AdapterUsageReport[] = [];
    for (const [address, engine] of this.engines) {
      if (engine.changed || now - engine.toldAt >= REPEAT_MS) {
        due.push({
          address,
          begun: [...engine.begun],
          running: [...engine.running],
        });
        engine.begun.clear();
        engine.changed = false;
        engine.toldAt = now;
        if (engine.running.size === 0) {
          this.engines.delete(address);
        }
      }
    }
    return due;
  }
}
