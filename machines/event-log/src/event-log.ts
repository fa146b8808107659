import {
  eventNumber,
  type Event,
  type EventName,
} from '@marigoldspur/event-catalogue';
import {HybridClock} from './hybrid-clock.js';
import type {EventSink} from './json-lines.js';

/** Details of an event, by name. */
export type EventDetails = Readonly<Record<string, string | number | boolean>>;

/** Options of an event log. */
export interface EventLogOptions {
  /** Name of the process. */
  readonly process: string;
  /** Number of events that are kept in memory. */
  readonly capacity?: number;
  readonly sinks?: readonly EventSink[];
  /** Wall clock, in milliseconds since the epoch. */
  readonly now?: () => number;
}

const DEFAULT_CAPACITY_EVENTS = 8_192;

/** Keeps the latest events of a process in a ring buffer and passes each event to the sinks. */
export class EventLog {
  readonly clock = new HybridClock();
  private readonly ring: Event[] = [];
  private sequence = 0;
  private readonly capacity: number;
  private readonly now: () => number;

  constructor(private readonly options: EventLogOptions) {
    this.capacity = options.capacity ?? DEFAULT_CAPACITY_EVENTS;
    this.now = options.now ?? Date.now;
  }

  /** Records an event and returns it; `request` is the ID of the request that it concerns. */
  record(name: EventName, details: EventDetails = {}, request?: string): Event {
    this.sequence += 1;
    const event: Event = {
      number: eventNumber(name),
      name,
      ...this.clock.advance(this.now()),
      process: this.options.process,
      sequence: this.sequence,
      ...(request !== undefined && {request}),
      details,
    };
    this.ring[this.sequence % this.capacity] = event;
    for (const sink of this.options.sinks ?? []) {
      sink.write(event);
    }
    return event;
  }

  /**
   * Returns up to `limit` kept events after a sequence number, oldest first; only those of
   * `request` if it is given.
   */
  eventsAfter(sequence: number, limit: number, request?: string): Event[] {
    const events: Event[] = [];
    const oldest = Math.max(1, this.sequence - this.capacity + 1);
    let next = Math.max(oldest, sequence + 1);
    for (; next <= this.sequence && events.length < limit; next += 1) {
      const event = this.ring[next % this.capacity];
      if (request === undefined || event.request === request) {
        events.push(event);
      }
    }
    return events;
  }
}
