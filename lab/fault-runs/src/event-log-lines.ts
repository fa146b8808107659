import type {HistoryLine} from '@marigoldspur/history';
import type {Child} from '@marigoldspur/lab';

interface LoggedEvent {
  readonly name?: string;
  readonly time: number;
  readonly process: string;
  readonly request?: string;
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Parses the events that a process logged; lines that are not JSON are skipped. */
export function parseEvents(child: Child): LoggedEvent[] {
  return child.lines.flatMap(line => {
    try {
      return [JSON.parse(line) as LoggedEvent];
    } catch {
      return [];
    }
  });
}

/** Returns a line for each revision of the settings that took effect in a process; incarnations are numbered from 0. */
export function collectInForceLines(
  child: Child,
  incarnation: number,
): HistoryLine[] {
  return parseEvents(child)
    .filter(event => event.name === 'settings-in-force')
    .map(event => ({
      line: 'in-force',
      process: event.process,
      life: incarnation,
      revision: Number(event.details?.revision),
      at: event.time,
    }));
}

/** Returns a line for each retry that an entry logged. */
export function collectRetryLines(child: Child): HistoryLine[] {
  return parseEvents(child)
    .filter(event => event.name === 'attempt-retried')
    .map(event => ({
      line: 'retry',
      request: event.request ?? '',
      at: event.time,
    }));
}

/** Returns a line for each attempt that an entry sent to a target. */
export function collectAttemptLines(child: Child): HistoryLine[] {
  return parseEvents(child)
    .filter(event => event.name === 'request-dispatched')
    .map(event => ({
      line: 'attempt',
      request: event.request ?? '',
      attempt: Number(event.details?.attempt),
      target: String(event.details?.target),
      at: event.time,
    }));
}
