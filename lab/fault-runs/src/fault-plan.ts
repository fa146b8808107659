import type {Random} from './random.js';

/** Kinds of faults. */
export const FAULT_KINDS = [
  'kill-entry',
  'freeze-entry',
  'kill-agent',
  'freeze-agent',
  'kill-target',
  'freeze-target',
  'restart-engine',
  'cut-answers',
  'kill-control',
  'freeze-zone',
  'leave-engine',
  'kill-leader',
  'freeze-leader',
  'cut-leader',
  'cut-zone',
  'cut-zone-inward',
  'cut-zone-outward',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** When it begins, in milliseconds after the start of the load. */
  readonly atMs: number;
  /** Time until the fault is undone, in milliseconds. */
  readonly durationMs: number;
  /** Selects the process or zone: its index, modulo their number. */
  readonly selector: number;
}

const FIRST_FAULT_MS = 1_500;
const START_JITTER_MS = 1_000;
const MIN_DURATION_MS = 1_000;
const MAX_DURATION_MS = 3_000;
const MAX_SELECTOR = 1_000;

/** Plans the given faults at random times so close together that they overlap; `cutMs`, if given, is the duration of cuts. */
export function planFaults(
  kinds: readonly FaultKind[],
  random: Random,
  cutMs?: number,
): PlannedFault[] {
  return kinds.map(kind => {
    const atMs = FIRST_FAULT_MS + random.integer(0, START_JITTER_MS);
    const randomMs = random.integer(MIN_DURATION_MS, MAX_DURATION_MS);
    const durationMs = isCut(kind) ? (cutMs ?? randomMs) : randomMs;
    return {kind, atMs, durationMs, selector: random.integer(0, MAX_SELECTOR)};
  });
}

/** Whether a fault cuts network links. */
export function isCut(kind: FaultKind): boolean {
  return kind.startsWith('cut-') && kind !== 'cut-answers';
}

/** Picks one or two kinds of faults at random; always two if `isPair` is true. */
export function pickKinds(random: Random, isPair: boolean): FaultKind[] {
  const count = isPair ? 2 : random.integer(1, 2);
  return Array.from({length: count}, () => random.pick(FAULT_KINDS));
}
