/** The load at which requests that nobody sees yet leave the engines. */
export interface WaterLevel {
  /** Cost up to which the engines with less are filled, in milliseconds. */
  readonly levelMs: number;
  /** Share of the requests that engines with less load get beyond an equal share. */
  readonly preferredShare: number;
}

/** Maximum number of steps to the level; each step leaves out engines above it. */
const MAX_STEPS = 16;

/** The level to which `requests`, of `requestMs` milliseconds each, fill engines with these costs. */
export function levelOf(
  costsMs: Float64Array,
  requests: number,
  requestMs: number,
): WaterLevel {
  const fillMs = requests * requestMs;
  let levelMs = Infinity;
  for (let step = 0; step < MAX_STEPS; step += 1) {
    let count = 0;
    let sumMs = fillMs;
    for (const costMs of costsMs) {
      if (costMs < levelMs) {
        count += 1;
        sumMs += costMs;
      }
    }
    const nextMs = sumMs / count;
    if (!(nextMs < levelMs)) {
      break;
    }
    levelMs = nextMs;
  }
  const equalMs = fillMs / costsMs.length;
  let preferredMs = 0;
  for (const costMs of costsMs) {
    preferredMs += Math.max(0, levelMs - costMs - equalMs);
  }
  return {levelMs, preferredShare: Math.min(1, preferredMs / fillMs)};
}
