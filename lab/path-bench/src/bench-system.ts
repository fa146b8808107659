import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';

/** Adapter and version that the calls name. */
export const MODEL = 'callao-0@v1';

/** What runs during a measurement. */
export interface BenchSystemOptions {
  readonly entries: number;
  /** Adapters in the settings tree; one of them is called. */
  readonly adapters: number;
  /** Time between an engine's tokens, in milliseconds. */
  readonly tokenMs: number;
  /** How long the engine keeps a broken stream, in milliseconds; 0 for not at all. */
  readonly resumeMs: number;
}

const BATCH_LIMIT = 1_024;
const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;

/** Runs a measurement against one engine stand-in behind real processes. */
export async function withBenchSystem(
  {entries, adapters, tokenMs, resumeMs}: BenchSystemOptions,
  measure: (system: System) => Promise<void>,
): Promise<void> {
  const system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], adapters),
    controls: 1,
    entries,
    firstTokenMs: 0,
    tokenMs,
    resumeMs,
    batchLimit: BATCH_LIMIT,
    logLevel: 'info',
  });
  try {
    await system.settled();
    await measure(system);
  } finally {
    await system.stop();
  }
}
