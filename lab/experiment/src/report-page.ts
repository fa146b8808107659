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
const PANEL_WIDTH = 90;
const PANEL_HEIGHT = 160;

/** Writes a report as one HTML page with plots and the table. */
export async function reportPage(report: ExperimentReport): Promise<string> {
  const plots = await Promise.all(PLOTS.map(plot => plotSvg(report, plot)));
  const title = `${report.workload}: ${report.seeds.length} seeds, knee at ${report.kneeRate} requests/s`;
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeText(title)}</title></head><body>`,
    `<h1>${escapeText(title)}</h1>`,
    ...plots,
    `<pre>${escapeText(formatReport(report))}</pre>`,
    '</body></html>',
    '',
  ].join('\n');
}

/** Bars of the median with the spread over the seeds, a panel for each scenario and load. */
function plotSvg(report: ExperimentReport, plot: Plot): Promise<string> {
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
      width: PANEL_WIDTH,
      height: PANEL_HEIGHT,
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

function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
