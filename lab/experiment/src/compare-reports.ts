import type {
  ExperimentReport,
  ExperimentRow,
  FigureName,
} from './experiment.js';

/**
 * A figure whose ranges over the seeds do not overlap between two reports; `before` and
 * `after` are medians.
 */
export interface FigureDifference {
  readonly scenario: string;
  readonly load: number;
  readonly policy: string;
  readonly figure: FigureName;
  readonly before: number;
  readonly after: number;
}

/** Finds the figures whose ranges over the seeds do not overlap, in rows that both reports have. */
export function compareReports(
  before: ExperimentReport,
  after: ExperimentReport,
): FigureDifference[] {
  return after.rows.flatMap(row => {
    const earlier = before.rows.find(each => isSameRow(each, row));
    return earlier === undefined ? [] : findDifferences(earlier, row);
  });
}

function isSameRow(a: ExperimentRow, b: ExperimentRow): boolean {
  return (
    a.scenario === b.scenario && a.load === b.load && a.policy === b.policy
  );
}

function findDifferences(before: ExperimentRow, after: ExperimentRow) {
  const {scenario, load, policy} = after;
  const figures = Object.keys(after.figures) as FigureName[];
  return figures
    .filter(figure => {
      const a = before.figures[figure];
      const b = after.figures[figure];
      return a.highest < b.lowest || b.highest < a.lowest;
    })
    .map(figure => ({
      scenario,
      load,
      policy,
      figure,
      before: before.figures[figure].median,
      after: after.figures[figure].median,
    }));
}
