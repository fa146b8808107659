import {Result} from 'true-myth';
import type {Event} from '@marigoldspur/event-catalogue';
import type {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';
import {listProcessUrls} from './process-urls.js';

const MAX_EVENTS_PER_PROCESS = 10_000;

/** Reads the events of all processes; returns each event only once. */
export class TimelineReader {
  /** Sequence number of the last event read, by the URL of its process. */
  private readonly lastSequences = new Map<string, number>();

  /** Reads only the events of `request` if it is given. */
  constructor(
    private readonly session: OperatorSession,
    private readonly request?: string,
  ) {}

  /**
   * Reads the events since the last call, in the order of their hybrid logical timestamps.
   * Omits the events of unreachable processes.
   */
  async readNext(): Promise<Result<Event[], Fault>> {
    const members = await this.session.listMembers();
    if (members.isErr) {
      return Result.err(members.error);
    }
    const urls = listProcessUrls(this.session, members.value);
    const lists = await Promise.all(urls.map(url => this.fetchEvents(url)));
    return Result.ok(lists.flat().sort(compareEvents));
  }

  private async fetchEvents(url: string): Promise<readonly Event[]> {
    const after = this.lastSequences.get(url) ?? 0;
    const query = {after, limit: MAX_EVENTS_PER_PROCESS, request: this.request};
    try {
      const events = await this.session
        .createProcessClient(url)
        .events.query(query);
      this.lastSequences.set(url, events.at(-1)?.sequence ?? after);
      return events;
    } catch {
      return [];
    }
  }
}

/**
 * Reads the events that all processes keep in memory, in the order of their hybrid logical
 * timestamps; only those of `request` if it is given.
 */
export function readTimeline(
  session: OperatorSession,
  options: {readonly request?: string},
): Promise<Result<Event[], Fault>> {
  return new TimelineReader(session, options.request).readNext();
}

/** Formats an event as one line. */
export function formatEvent(event: Event): string {
  const time = new Date(event.time).toISOString();
  const details = Object.entries(event.details)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  const request = event.request === undefined ? '' : ` ${event.request}`;
  return `${time}.${event.tick} ${event.process} ${event.number} ${event.name}${request} ${details}`;
}

function compareEvents(a: Event, b: Event): number {
  return (
    a.time - b.time ||
    a.tick - b.tick ||
    a.process.localeCompare(b.process) ||
    a.sequence - b.sequence
  );
}
