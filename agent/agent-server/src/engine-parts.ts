import type {AdapterHost} from './adapter-host.js';
import type {CachedPrefixes} from './cached-prefixes.js';
import type {LeaseKeeper} from './lease-keeper.js';
import type {TargetWatch} from './target-watch.js';

/** The parts of an agent that only an engine's has. */
export interface EngineParts {
  readonly host: AdapterHost;
  readonly watch: TargetWatch;
  readonly keeper: LeaseKeeper;
  /** What the engine's prefix cache is said to hold. */
  readonly prefixes: CachedPrefixes;
}
