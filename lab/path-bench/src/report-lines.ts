import type {CallRoundResult} from './call-round.js';

/** Formats a line that compares direct calls with calls through an entry and an agent (`path`). */
export function formatComparison(
  label: string,
  direct: CallRoundResult,
  path: CallRoundResult,
): string {
  const added = path.p50Ms - direct.p50Ms;
  const ratio = path.p50Ms / direct.p50Ms;
  return [
    `${label}:`,
    `direct p50 ${direct.p50Ms.toFixed(2)} p99 ${direct.p99Ms.toFixed(2)} ms,`,
    `path p50 ${path.p50Ms.toFixed(2)} p99 ${path.p99Ms.toFixed(2)} ms,`,
    `added p50 ${added.toFixed(2)} p99 ${(path.p99Ms - direct.p99Ms).toFixed(2)} ms,`,
    `ratio ${ratio.toFixed(2)},`,
    `${Math.round(direct.perSecond)} and ${Math.round(path.perSecond)} calls/s`,
  ].join(' ');
}

/** Formats a line per process with its CPU time per unit of work, such as a request. */
export function formatCpuCosts(
  cpuMicros: ReadonlyMap<string, number>,
  units: number,
  unit: string,
): string {
  return [...cpuMicros]
    .map(
      ([name, micros]) =>
        `  ${name}: ${(micros / units).toFixed(1)} us of CPU per ${unit}`,
    )
    .join('\n');
}

/** Prints lines of the report. */
export function printLines(lines: string): void {
  process.stdout.write(`${lines}\n`);
}
