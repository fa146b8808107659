import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

/** Adapter and version that all calls request. */
export const MODEL = 'callao-0@v1';

/** Options of the system under measurement. */
export interface BenchSystemOptions {
  /** Number of entries. */
  readonly entries: number;
  /** Number of adapters in the settings tree; only one of them is called. */
  readonly adapters: number;
  /** Time between the tokens of the engine, in milliseconds. */
  readonly tokenMs: number;
  /** Time in which a broken stream of the engine can be resumed, in milliseconds; 0 disables it. */
  readonly resumeMs: number;
}

const BATCH_LIMIT = 1_024;
const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;

/**
 * Starts control, entries, an agent and one engine stand-in, runs a measurement, and
 * stops them.
 */
export async function withBenchSystem(
  {entries, adapters, tokenMs, resumeMs}: BenchSystemOptions,
  measure: (system: System) => Promise<void>,
): Promise<void> {
  const system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], adapters),
    controls: 1,
    entries,
    firstTokenMs: 0,
    tokenMs,
    resumeMs,
    batchLimit: BATCH_LIMIT,
    logLevel: 'info',
  });
  try {
    await system.waitUntilSettled();
    await measure(system);
  } finally {
    await system.stop();
  }
}
