import type {AdapterLoader} from './adapter-loader.js';
import type {CachedPrefixes} from './cached-prefixes.js';
import type {LeaseManager} from './lease-manager.js';
import type {TargetMonitor} from './target-monitor.js';

/** The parts of an agent that only an engine's has. */
export interface EngineComponents {
  readonly host: AdapterLoader;
  readonly watch: TargetMonitor;
  readonly keeper: LeaseManager;
  /** What the engine's prefix cache is said to hold. */
  readonly prefixes: CachedPrefixes;
}
