import {
  eventNumber,
  type Event,
  type EventName,
} from '@marigoldspur/event-catalogue';
import {HybridClock} from './hybrid-clock.js';
import {boundDetails, boundText, eventBytes} from './event-size.js';
import type {EventSink} from './json-lines.js';

/** Details of an event, by name. */
export type EventDetails = Readonly<Record<string, string | number | boolean>>;

/** Options of an event log. */
export interface EventLogOptions {
  /** Name of the process. */
  readonly process: string;
  /** Number of events that are kept in memory. */
  readonly capacity?: number;
  /** Maximum memory of those events, in bytes. */
  readonly maxBytes?: number;
  readonly sinks?: readonly EventSink[];
  /** Wall clock, in milliseconds since the epoch. */
  readonly now?: () => number;
}

const DEFAULT_CAPACITY_EVENTS = 8_192;
const DEFAULT_MAX_BYTES = 8_388_608;

/**
 * Keeps the latest events of a process in a ring buffer, within a maximum memory, and passes each
 * event to the sinks. Texts from outside are cut to a maximum length.
 */
export class EventLog {
  readonly clock = new HybridClock();
  private readonly ring: Array<Event | undefined> = [];
  private sequence = 0;
  /** Sequence number of the oldest event that is kept. */
  private oldest = 1;
  private keptBytes = 0;
  private readonly capacity: number;
  private readonly maxBytes: number;
  private readonly now: () => number;

  constructor(private readonly options: EventLogOptions) {
    this.capacity = options.capacity ?? DEFAULT_CAPACITY_EVENTS;
    this.maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES;
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
      ...(request !== undefined && {request: boundText(request)}),
      details: boundDetails(details),
    };
    this.keep(event);
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
    let next = Math.max(this.oldest, sequence + 1);
    for (; next <= this.sequence && events.length < limit; next += 1) {
      const event = this.ring[next % this.capacity];
      const isWanted = request === undefined || event?.request === request;
      if (event !== undefined && isWanted) {
        events.push(event);
      }
    }
    return events;
  }

  private keep(event: Event): void {
    if (this.sequence - this.oldest >= this.capacity) {
      this.dropOldest();
    }
    this.ring[this.sequence % this.capacity] = event;
    this.keptBytes += eventBytes(event);
    while (this.keptBytes > this.maxBytes && this.oldest < this.sequence) {
      this.dropOldest();
    }
  }

  private dropOldest(): void {
    const index = this.oldest % this.capacity;
    const event = this.ring[index];
    this.ring[index] = undefined;
    this.oldest += 1;
    this.keptBytes -= event === undefined ? 0 : eventBytes(event);
  }
}
