import {Result} from 'true-myth';
import {schemaFindings, type Finding} from '@marigoldspur/faults';
import {
  HISTORY_LINE_SCHEMA,
  type Answer,
  type Call,
  type HistoryLine,
  type Run,
} from './history-line.js';

/** The lines of one kind. */
export type LinesOf<Kind extends HistoryLine['line']> = Extract<
  HistoryLine,
  {line: Kind}
>;

/** A call with what its caller saw. */
export interface AnsweredCall {
  readonly call: Call;
  readonly answer: Answer;
}

/** What happened in one run of the system. */
export class History {
  constructor(readonly lines: readonly HistoryLine[]) {}

  /** The lines of one kind, in order. */
  of<Kind extends HistoryLine['line']>(kind: Kind): Array<LinesOf<Kind>> {
    return this.lines.filter(
      (line): line is LinesOf<Kind> => line.line === kind,
    );
  }

  /** Calls whose end was seen. */
  answeredCalls(): AnsweredCall[] {
    const calls = new Map(this.of('call').map(call => [call.call, call]));
    return this.of('answer').flatMap(answer => {
      const call = calls.get(answer.call);
      return call === undefined ? [] : [{call, answer}];
    });
  }

  /** Runs by what was asked for. */
  runsByOperation(): Map<string, Run[]> {
    const runs = new Map<string, Run[]>();
    for (const run of this.of('run')) {
      runs.set(run.operation, [...(runs.get(run.operation) ?? []), run]);
    }
    return runs;
  }
}

/** Writes a history as JSON lines. */
export function formatHistory(history: History): string {
  return history.lines.map(line => `${JSON.stringify(line)}\n`).join('');
}

/** Reads a history from JSON lines; all findings are reported together. */
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
