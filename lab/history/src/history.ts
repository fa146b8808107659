import {Result} from 'true-myth';
import {schemaFindings, type Finding} from '@marigoldspur/faults';
import {
  HISTORY_LINE_SCHEMA,
  type Answer,
  type Call,
  type HistoryLine,
  type Run,
} from './history-line.js';

/** A line of one kind, selected by the value of its field `line`. */
export type LinesOf<Kind extends HistoryLine['line']> = Extract<
  HistoryLine,
  {line: Kind}
>;

/** A call with its end, as its caller saw it. */
export interface AnsweredCall {
  readonly call: Call;
  readonly answer: Answer;
}

/** The recorded lines of one run of the system. */
export class History {
  constructor(readonly lines: readonly HistoryLine[]) {}

  /** Returns the lines of one kind, in order. */
  of<Kind extends HistoryLine['line']>(kind: Kind): Array<LinesOf<Kind>> {
    return this.lines.filter(
      (line): line is LinesOf<Kind> => line.line === kind,
    );
  }

  /** Returns the calls whose end was recorded. */
  answeredCalls(): AnsweredCall[] {
    const calls = new Map(this.of('call').map(call => [call.call, call]));
    return this.of('answer').flatMap(answer => {
      const call = calls.get(answer.call);
      return call === undefined ? [] : [{call, answer}];
    });
  }

  /** Returns the runs of each operation, keyed by the identity of the operation. */
  runsByOperation(): Map<string, Run[]> {
    const runs = new Map<string, Run[]>();
    for (const run of this.of('run')) {
      runs.set(run.operation, [...(runs.get(run.operation) ?? []), run]);
    }
    return runs;
  }
}

/** Formats a history as JSON lines. */
export function formatHistory(history: History): string {
  return history.lines.map(line => `${JSON.stringify(line)}\n`).join('');
}

/** Parses a history from JSON lines; returns the findings on all lines if any is invalid. */
export function parseHistory(text: string): Result<History, Finding[]> {
  const findings: Finding[] = [];
  const lines: HistoryLine[] = [];
  text.split('\n').forEach((line, index) => {
    if (line === '') {
      return;
    }
    const place = `line ${index + 1}`;
    const parsed = HISTORY_LINE_SCHEMA.safeParse(parseJson(line));
    if (parsed.success) {
      lines.push(parsed.data);
    } else {
      findings.push(...schemaFindings(parsed.error, place));
    }
  });
  return findings.length === 0
    ? Result.ok(new History(lines))
    : Result.err(findings);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
