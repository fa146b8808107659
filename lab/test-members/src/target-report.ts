import type {LoadReport, TargetReport} from '@marigoldspur/messages';

/** The report of a healthy, idle engine, but for what is named. */
export function targetReport(change: Partial<TargetReport> = {}): TargetReport {
  return {
    name: 'lm-desk-0',
    customer: 'callao',
    service: 'lm-desk',
    boot: 'engine',
    healthy: true,
    slots: 6,
    batchLimit: 16,
    load: loadReport(),
    ...change,
  };
}

/** The load report of an idle target that holds nothing, but for what is named. */
export function loadReport(change: Partial<LoadReport> = {}): LoadReport {
  return {resident: [], running: 0, waiting: 0, ...change};
}
