import type {LoadReport, TargetReport} from '@marigoldspur/messages';

/** Creates the report of a healthy, idle engine; `overrides` replaces fields. */
export function createTargetReport(
  overrides: Partial<TargetReport> = {},
): TargetReport {
  return {
    name: 'lm-desk-0',
    customer: 'callao',
    service: 'lm-desk',
    boot: 'engine',
    healthy: true,
    slots: 6,
    batchLimit: 16,
    load: createLoadReport(),
    ...overrides,
  };
}

/**
 * Creates the load report of an idle target without loaded adapters; `overrides`
 * replaces fields.
 */
export function createLoadReport(
  overrides: Partial<LoadReport> = {},
): LoadReport {
  return {resident: [], running: 0, waiting: 0, ...overrides};
}
