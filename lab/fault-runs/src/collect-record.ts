import type {HistoryLine} from '@marigoldspur/history';
import type {Child} from '@marigoldspur/lab';
import type {OrderRecord, RunRecord} from '@marigoldspur/stand-ins';

const OPERATION_PATTERN = /op-\d+/;

/** A stand-in whose record is read. */
export interface RecordedTarget {
  readonly name: string;
  readonly url: string;
  readonly target: Child;
}

/** Whether a target is an engine. */
export function isEngine({target}: RecordedTarget): boolean {
  return target.process.spawnargs.includes('engine');
}

/** Reads what a stand-in ran and which orders it took. */
export async function collectRecord(
  recorded: RecordedTarget,
): Promise<HistoryLine[]> {
  const {name: target, url} = recorded;
  const runs = await readList<RunRecord>(`${url}/record`);
  const orders = isEngine(recorded)
    ? await readList<OrderRecord>(`${url}/orders`)
    : [];
  return [
    ...runs.map(run => runLine(target, run)),
    ...orders.map(order => orderLine(target, order)),
  ];
}

/** Requests that a stand-in runs now. */
export async function runningAt(url: string): Promise<number> {
  const runs = await readList<RunRecord>(`${url}/record`);
  return runs.filter(run => run.end === 'running').length;
}

function runLine(target: string, run: RunRecord): HistoryLine {
  return {
    line: 'run',
    target,
    request: run.request,
    attempt: run.attempt,
    model: run.model,
    operation: OPERATION_PATTERN.exec(run.input)?.[0] ?? run.input,
    at: run.startedAt,
    end: run.end,
  };
}

function orderLine(target: string, order: OrderRecord): HistoryLine {
  const {at, model, evictedInUse} = order;
  return {line: 'order', target, at, order: order.order, model, evictedInUse};
}

async function readList<T>(url: string): Promise<T[]> {
  const answer = await fetch(url);
  return (await answer.json()) as T[];
}
