import type {CrashLedger, DatedReport} from './crash-ledger.js';

/** Why a part of a prompt is held to crash engines. */
export interface Blame {
  readonly part: string;
  /** Models under which it crashed engines. */
  readonly models: ReadonlySet<string>;
  /** Number of engines that crashed. */
  readonly engines: number;
  /** Names of the entries that saw the crashes. */
  readonly entries: readonly string[];
  /** Time of the first of these crashes, in milliseconds. */
  readonly since: number;
}

/** Engines that have to crash before a part is blamed that no complete answer is known of. */
const MIN_CRASHES = 3;
/** The same for a part that calls were answered with before the crashes. */
const MIN_CRASHES_ONCE_SOUND = 6;
/**
 * Prompts, and requests, that have to differ: one or two that are sent again and again may crash
 * engines by themselves.
 */
const MIN_DIFFERENT = 3;
/** Number of blamed parts behind a part that make it the more likely cause. */
const MIN_BLAMED_BEHIND = 2;

/** The evidence against one part. */
interface PartEvidence {
  readonly part: string;
  /** Greatest number of parts before it in a prompt. */
  readonly depth: number;
  readonly dated: readonly DatedReport[];
  readonly needed: number;
}

/**
 * Finds the parts that crash engines. A crash speaks against the parts of each call that
 * the engine had sent the head of a response to, but no event; where there is no such
 * call, against those of the calls whose head had not arrived. An answer that is complete
 * clears all parts of its prompt of the crashes before it. Of several parts that the same
 * crashes speak against, the last is blamed, because others share the parts before it. A crash
 * that a blamed request explains (`causes`, by engine as ID/START) speaks against no other call.
 */
export function findBlamedParts(
  ledger: CrashLedger,
  causes: ReadonlyMap<string, string> = new Map(),
): Map<string, Blame> {
  const reports = selectStrongest(
    ledger.datedReports().filter(dated => {
      const cause = causes.get(engineOf(dated));
      return cause === undefined || cause === dated.report.request;
    }),
  );
  const allEvidence = collectEvidence(reports, ledger);
  const blames = new Map<string, Blame>();
  const explained = new Set<DatedReport>();
  for (const evidence of allEvidence) {
    const unexplained = evidence.dated.filter(dated => !explained.has(dated));
    const isBlamed =
      isEnough(unexplained, evidence.needed) || isCommonCause(evidence, blames);
    if (isBlamed) {
      evidence.dated.forEach(dated => explained.add(dated));
      blames.set(evidence.part, createBlame(evidence));
    }
  }
  return blames;
}

/** Returns the first part of a prompt, without its last one, that is blamed under the model. */
export function findBlockedPart(
  blames: ReadonlyMap<string, Blame>,
  ledger: CrashLedger,
  model: string,
  parts: readonly string[],
): Blame | undefined {
  return parts
    .slice(0, -1)
    .map(part => blames.get(part))
    .find(
      blame =>
        blame !== undefined &&
        (blame.models.has(model) ||
          ledger.lastSightedAt('completed', model, blame.part) === undefined),
    );
}

/** Leaves out calls without a head for engines that also have calls with one. */
function selectStrongest(reports: readonly DatedReport[]): DatedReport[] {
  const enginesWithHead = new Set(
    reports.filter(({report}) => report.hasHead).map(engineOf),
  );
  return reports.filter(
    dated => dated.report.hasHead || !enginesWithHead.has(engineOf(dated)),
  );
}

/** Returns the evidence against each part, the last parts of prompts first. */
function collectEvidence(
  reports: readonly DatedReport[],
  ledger: CrashLedger,
): PartEvidence[] {
  const byPart = new Map<string, {depth: number; dated: DatedReport[]}>();
  for (const dated of reports) {
    dated.report.parts.forEach((part, index) => {
      const row = byPart.get(part) ?? {depth: 0, dated: []};
      row.depth = Math.max(row.depth, index);
      row.dated.push(dated);
      byPart.set(part, row);
    });
  }
  return [...byPart]
    .map(([part, {dated, depth}]) => toPartEvidence(part, depth, dated, ledger))
    .sort((a, b) => b.depth - a.depth || b.dated.length - a.dated.length);
}

function toPartEvidence(
  part: string,
  depth: number,
  reports: readonly DatedReport[],
  ledger: CrashLedger,
): PartEvidence {
  const completedAt = ({report: {model}}: DatedReport) =>
    ledger.lastSightedAt('completed', model, part);
  const dated = reports.filter(
    each => each.at > (completedAt(each) ?? -Infinity),
  );
  const wasSound = dated.some(each => completedAt(each) !== undefined);
  const needed = wasSound ? MIN_CRASHES_ONCE_SOUND : MIN_CRASHES;
  return {part, depth, dated, needed};
}

function isEnough(dated: readonly DatedReport[], needed: number): boolean {
  const prompts = new Set(dated.map(({report}) => report.prompt));
  const requests = new Set(
    dated.map(({report}) => report.request ?? report.prompt),
  );
  return (
    countEngines(dated) >= needed &&
    Math.min(prompts.size, requests.size) >= MIN_DIFFERENT
  );
}

/** Whether calls with several blamed parts share this part and none of them was answered. */
function isCommonCause(
  {dated, needed}: PartEvidence,
  blames: ReadonlyMap<string, Blame>,
): boolean {
  const behind = new Set(
    dated.flatMap(({report}) => report.parts.filter(part => blames.has(part))),
  );
  return (
    behind.size >= MIN_BLAMED_BEHIND &&
    countEngines(dated) >= needed * MIN_BLAMED_BEHIND
  );
}

function createBlame({dated, part}: PartEvidence): Blame {
  return {
    part,
    models: new Set(dated.map(({report}) => report.model)),
    engines: countEngines(dated),
    entries: [...new Set(dated.map(({report}) => report.entry))].sort(),
    since: Math.min(...dated.map(({at}) => at)),
  };
}

function countEngines(dated: readonly DatedReport[]): number {
  return new Set(dated.map(engineOf)).size;
}

function engineOf({report: {bornAt, target}}: DatedReport): string {
  return `${target}/${bornAt}`;
}
