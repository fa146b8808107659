import type {HistoryLine} from '@marigoldspur/history';
import type {Child} from '@marigoldspur/lab';
import type {OrderRecord, RunRecord} from '@marigoldspur/stand-ins';

const OPERATION_PATTERN = /op-\d+/;

/** A stand-in target whose record is read. */
export interface RecordedTarget {
  readonly name: string;
  readonly url: string;
  readonly target: Child;
}

/** Whether a target is an engine rather than a plain service. */
export function isEngine({target}: RecordedTarget): boolean {
  return target.process.spawnargs.includes('engine');
}

/** Fetches the requests that a stand-in ran and, from an engine, the orders that it received. */
export async function collectRecord(
  recorded: RecordedTarget,
): Promise<HistoryLine[]> {
  const {name: target, url} = recorded;
  const runRecords = await fetchList<RunRecord>(`${url}/record`);
  const orders = isEngine(recorded)
    ? await fetchList<OrderRecord>(`${url}/orders`)
    : [];
  return [
    ...runRecords.map(run => toRunLine(target, run)),
    ...orders.map(order => toOrderLine(target, order)),
  ];
}

/** Counts the requests that a stand-in is running. */
export async function countRunningRequests(url: string): Promise<number> {
  const runRecords = await fetchList<RunRecord>(`${url}/record`);
  return runRecords.filter(run => run.end === 'running').length;
}

function toRunLine(target: string, run: RunRecord): HistoryLine {
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

function toOrderLine(target: string, order: OrderRecord): HistoryLine {
  const {at, model, evictedInUse} = order;
  return {line: 'order', target, at, order: order.order, model, evictedInUse};
}

async function fetchList<T>(url: string): Promise<T[]> {
  const response = await fetch(url);
  return (await response.json()) as T[];
}
