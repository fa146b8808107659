import type {
  ExperimentReport,
  ExperimentRow,
  FigureName,
  Spread,
} from './experiment.js';

interface Column {
  readonly figure: FigureName;
  readonly title: string;
  readonly digits: number;
  readonly factor: number;
}

const COLUMNS: readonly Column[] = [
  {figure: 'stalledShare', title: 'stalled %', digits: 1, factor: 100},
  {figure: 'meanStallMs', title: 'mean ms', digits: 0, factor: 1},
  {figure: 'p50StallMs', title: 'p50', digits: 0, factor: 1},
  {figure: 'p95StallMs', title: 'p95', digits: 0, factor: 1},
  {figure: 'p99StallMs', title: 'p99', digits: 0, factor: 1},
  {figure: 'loads', title: 'loads', digits: 0, factor: 1},
  {figure: 'loadsWasted', title: 'wasted', digits: 0, factor: 1},
  {figure: 'batchFill', title: 'fill %', digits: 1, factor: 100},
  {figure: 'refusedShare', title: 'refused %', digits: 1, factor: 100},
  {figure: 'p95FirstTokenMs', title: 'first token p95', digits: 0, factor: 1},
  {figure: 'meanQueue', title: 'queue', digits: 1, factor: 1},
];

/** Writes a report as a Markdown table: the median, and the spread of the mean and p99 stall. */
export function formatReport(report: ExperimentReport): string {
  const titles = ['scenario', 'load', 'policy', ...COLUMNS.map(c => c.title)];
  const lines = report.rows.map(row => line(cells(row)));
  return [line(titles), line(titles.map(() => '---')), ...lines, ''].join('\n');
}

function cells(row: ExperimentRow): string[] {
  const figures = COLUMNS.map(column =>
    cell(row.figures[column.figure], column),
  );
  return [row.scenario, String(row.load), row.policy, ...figures];
}

function cell(spread: Spread, {figure, digits, factor}: Column): string {
  const text = (value: number) => (value * factor).toFixed(digits);
  const withSpread = figure === 'meanStallMs' || figure === 'p99StallMs';
  return withSpread
    ? `${text(spread.median)} (${text(spread.lowest)}–${text(spread.highest)})`
    : text(spread.median);
}

function line(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}
