import {Result} from 'true-myth';
import type {Event} from '@marigoldspur/event-catalogue';
import type {Fault} from '@marigoldspur/faults';
import type {OperatorSession} from './operator-session.js';

const MAX_EVENTS_PER_PROCESS = 10_000;

/** The kept events of all processes in hybrid time, of one request where given. */
export async function mergedTimeline(
  session: OperatorSession,
  options: {readonly request?: string},
): Promise<Result<Event[], Fault>> {
  const members = await session.members();
  if (members.isErr) {
    return Result.err(members.error);
  }
  const urls = [
    ...session.controlUrls,
    ...members.value.map(member => member.url),
  ];
  const lists = await Promise.all(
    urls.map(url =>
      session
        .process(url)
        .events.query({
          after: 0,
          limit: MAX_EVENTS_PER_PROCESS,
          request: options.request,
        })
        .catch(() => []),
    ),
  );
  return Result.ok(lists.flat().sort(byTime));
}

/** Renders an event as one line. */
export function formatEvent(event: Event): string {
  const time = new Date(event.time).toISOString();
  const details = Object.entries(event.details)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  const request = event.request === undefined ? '' : ` ${event.request}`;
  return `${time}.${event.tick} ${event.process} ${event.number} ${event.name}${request} ${details}`;
}

function byTime(a: Event, b: Event): number {
  return (
    a.time - b.time ||
    a.tick - b.tick ||
    a.process.localeCompare(b.process) ||
    a.sequence - b.sequence
  );
}
