import type {
  ExperimentReport,
  ExperimentRow,
  FigureName,
  FigureStatistics,
} from './experiment.js';

interface Column {
  readonly figure: FigureName;
  readonly title: string;
  readonly fractionDigits: number;
  /** Factor that converts the figure to the unit of the column. */
  readonly factor: number;
}

const COLUMNS: readonly Column[] = [
  {figure: 'stalledShare', title: 'stalled %', fractionDigits: 1, factor: 100},
  {figure: 'meanStallMs', title: 'mean stall ms', fractionDigits: 0, factor: 1},
  {figure: 'p50StallMs', title: 'p50 stall ms', fractionDigits: 0, factor: 1},
  {figure: 'p95StallMs', title: 'p95 stall ms', fractionDigits: 0, factor: 1},
  {figure: 'p99StallMs', title: 'p99 stall ms', fractionDigits: 0, factor: 1},
  {figure: 'loads', title: 'loads', fractionDigits: 0, factor: 1},
  {figure: 'loadsWasted', title: 'wasted loads', fractionDigits: 0, factor: 1},
  {figure: 'batchFill', title: 'batch fill %', fractionDigits: 1, factor: 100},
  {figure: 'refusedShare', title: 'refused %', fractionDigits: 1, factor: 100},
  {
    figure: 'p95FirstTokenMs',
    title: 'p95 first token ms',
    fractionDigits: 0,
    factor: 1,
  },
  {figure: 'meanQueue', title: 'mean queue', fractionDigits: 1, factor: 1},
];

/** Formats a report as a Markdown table of medians; the mean and p99 stall also show their range. */
export function formatReport(report: ExperimentReport): string {
  const titles = [
    'scenario',
    'load',
    'policy',
    ...COLUMNS.map(column => column.title),
  ];
  const lines = report.rows.map(row => formatLine(formatCells(row)));
  return [
    formatLine(titles),
    formatLine(titles.map(() => '---')),
    ...lines,
    '',
  ].join('\n');
}

function formatCells(row: ExperimentRow): string[] {
  const figures = COLUMNS.map(column =>
    formatCell(row.figures[column.figure], column),
  );
  return [row.scenario, String(row.load), row.policy, ...figures];
}

function formatCell(
  statistics: FigureStatistics,
  {figure, fractionDigits, factor}: Column,
): string {
  const format = (value: number) => (value * factor).toFixed(fractionDigits);
  const showsRange = figure === 'meanStallMs' || figure === 'p99StallMs';
  return showsRange
    ? `${format(statistics.median)} (${format(statistics.lowest)}–${format(statistics.highest)})`
    : format(statistics.median);
}

function formatLine(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}
