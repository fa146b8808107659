import type {Random} from './random.js';

/** What goes wrong. */
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

/** What goes wrong. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** When it begins, from the start of the load, in milliseconds. */
  readonly atMs: number;
  /** Time until the process is started or thawed again, in milliseconds. */
  readonly lastsMs: number;
  /** Which of the processes of its kind, counted modulo their number. */
  readonly victim: number;
}

const FIRST_FAULT_MS = 1_500;
const SPREAD_MS = 1_000;
const MIN_LASTS_MS = 1_000;
const MAX_LASTS_MS = 3_000;
const MAX_VICTIM = 1_000;

/** Plans the given faults, so that they overlap; cuts last `cutMs` where it is given. */
export function planFaults(
  kinds: readonly FaultKind[],
  random: Random,
  cutMs?: number,
): PlannedFault[] {
  return kinds.map(kind => {
    const atMs = FIRST_FAULT_MS + random.integer(0, SPREAD_MS);
    const drawnMs = random.integer(MIN_LASTS_MS, MAX_LASTS_MS);
    const lastsMs = isCut(kind) ? (cutMs ?? drawnMs) : drawnMs;
    return {kind, atMs, lastsMs, victim: random.integer(0, MAX_VICTIM)};
  });
}

/** Whether a fault cuts links. */
export function isCut(kind: FaultKind): boolean {
  return kind.startsWith('cut-') && kind !== 'cut-answers';
}

/** Picks one or two kinds of fault; with `pairs` always two. */
export function pickKinds(random: Random, pairs: boolean): FaultKind[] {
  const count = pairs ? 2 : random.integer(1, 2);
  return Array.from({length: count}, () => random.pick(FAULT_KINDS));
}
