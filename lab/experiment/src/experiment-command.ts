import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {compareReports, type FigureDifference} from './compare-reports.js';
import {
  runExperiment,
  type ExperimentReport,
  type ExperimentSelection,
} from './experiment.js';
import {findKnee} from './find-knee.js';
import {renderReportPage} from './report-page.js';
import {formatReport} from './report-table.js';
import {readWorkload} from './workload.js';

/** Options of the experiment command. */
export interface ExperimentCommandOptions extends ExperimentSelection {
  /** Path of the workload file. */
  readonly file: string;
  /** Folder for `report.json` and `report.html`. */
  readonly out?: string;
  /** An earlier `report.json` to compare with. */
  readonly compare?: string;
  /** Finds the knee rates of the selected policies instead of running the experiment. */
  readonly knee?: boolean;
}

/** Rates in requests per second. */
const KNEE_SEARCH = {lowest: 0.5, highest: 10, precision: 0.1};

/** Runs the experiment of a workload file and writes its report. Throws if the file is invalid. */
export async function runExperimentCommand(
  options: ExperimentCommandOptions,
  write: (text: string) => void,
): Promise<void> {
  const result = await readWorkload(options.file);
  if (result.isErr) {
    throw result.error;
  }
  const workload = result.value;
  if (options.knee === true) {
    const seeds = options.seeds ?? workload.seeds;
    for (const policy of workload.policies) {
      if (options.policies?.includes(policy.name) ?? true) {
        const knee = findKnee(workload, policy, {...KNEE_SEARCH, seeds});
        write(`${policy.name}: knee at ${knee.toFixed(1)} requests/s\n`);
      }
    }
    return;
  }
  const report = runExperiment(workload, options);
  write(formatReport(report));
  if (options.out !== undefined) {
    await mkdir(options.out, {recursive: true});
    const outputPath = (name: string) => path.join(options.out!, name);
    await writeFile(outputPath('report.json'), JSON.stringify(report, null, 2));
    await writeFile(outputPath('report.html'), await renderReportPage(report));
  }
  if (options.compare !== undefined) {
    const text = await readFile(options.compare, 'utf8');
    const before = JSON.parse(text) as ExperimentReport;
    compareReports(before, report).forEach(each =>
      write(formatDifference(each)),
    );
  }
}

function formatDifference(difference: FigureDifference): string {
  const {scenario, load, policy, figure, before, after} = difference;
  return `${scenario} ${load} ${policy} ${figure}: ${before.toPrecision(4)} -> ${after.toPrecision(4)}\n`;
}
