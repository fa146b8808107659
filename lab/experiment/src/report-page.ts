import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {ExperimentReport, FigureName} from './experiment.js';
import {formatReport} from './report-table.js';

interface Plot {
  readonly figure: FigureName;
  readonly title: string;
}

const PLOTS: readonly Plot[] = [
  {figure: 'meanStallMs', title: 'Mean stall, ms'},
  {figure: 'p99StallMs', title: 'p99 stall, ms'},
  {figure: 'refusedShare', title: 'Refused or late, share'},
  {figure: 'batchFill', title: 'Batch fill while busy, share'},
  {figure: 'p95FirstTokenMs', title: 'First token p95, ms'},
];
const PANEL_WIDTH_PX = 90;
const PANEL_HEIGHT_PX = 160;

/** Renders a report as an HTML page with plots and the table. */
export async function renderReportPage(
  report: ExperimentReport,
): Promise<string> {
  const plots = await Promise.all(PLOTS.map(plot => renderPlot(report, plot)));
  const title = `${report.workload}: ${report.seeds.length} seeds, knee at ${report.kneeRate} requests/s`;
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    ...plots,
    `<pre>${escapeHtml(formatReport(report))}</pre>`,
    '</body></html>',
    '',
  ].join('\n');
}

/**
 * Renders a figure as SVG with a panel for each scenario and load; bars show the median
 * over the seeds, lines the range.
 */
function renderPlot(report: ExperimentReport, plot: Plot): Promise<string> {
  const values = report.rows.map(row => ({
    scenario: row.scenario,
    load: `${row.load} × knee`,
    policy: row.policy,
    ...row.figures[plot.figure],
  }));
  const spec: TopLevelSpec = {
    title: plot.title,
    data: {values},
    facet: {row: {field: 'load'}, column: {field: 'scenario', sort: null}},
    spec: {
      width: PANEL_WIDTH_PX,
      height: PANEL_HEIGHT_PX,
      encoding: {
        x: {field: 'policy', type: 'nominal', sort: null, title: null},
      },
      layer: [
        {
          mark: 'bar',
          encoding: {
            y: {field: 'median', type: 'quantitative', title: null},
            color: {field: 'policy', type: 'nominal', sort: null},
          },
        },
        {
          mark: 'rule',
          encoding: {
            y: {field: 'lowest', type: 'quantitative'},
            y2: {field: 'highest'},
          },
        },
      ],
    },
  };
  return new View(parse(compile(spec).spec), {renderer: 'none'}).toSVG();
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
