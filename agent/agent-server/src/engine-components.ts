import type {AdapterLoader} from './adapter-loader.js';
import type {CachedPrefixes} from './cached-prefixes.js';
import type {LeaseManager} from './lease-manager.js';
import type {TargetMonitor} from './target-monitor.js';

/** Components of an agent whose target is an engine. */
export interface EngineComponents {
  readonly loader: AdapterLoader;
  readonly monitor: TargetMonitor;
  readonly leaseManager: LeaseManager;
  /** Contents of the engine's prefix cache according to its events. */
  readonly prefixes: CachedPrefixes;
}
