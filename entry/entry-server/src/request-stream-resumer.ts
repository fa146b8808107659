import {setTimeout as pause} from 'node:timers/promises';
import {
  resumeWindowMs,
  type StreamResumer,
  type AttemptResponse,
  type AttemptClient,
  type Destination,
  type TargetDirectory,
} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import {retryDelayMs} from '@marigoldspur/retries';
import {remainingMs, type Job} from './job.js';

/** Options of a request stream resumer. */
export interface RequestStreamResumerOptions {
  readonly job: Job;
  /** Where the stream started. */
  readonly destination: Destination;
  /** The response that started the stream. */
  readonly upstream: AttemptResponse;
  readonly directory: Pick<TargetDirectory, 'destinationsOf'>;
  readonly attemptClient: Pick<AttemptClient, 'send' | 'cancel'>;
  readonly events: EventLog;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Maximum number of consecutive connections that break without a new event. */
const MAX_EMPTY_CONNECTIONS = 5;
/**
 * Refusal reason of an engine that no longer holds the stream; further attempts
 * are useless.
 */
const RESUME_GONE = 'resume_gone';

/** Resumes the stream of a request at its target. */
export class RequestStreamResumer implements StreamResumer {
  private destination: Destination;
  /**
   * Event after which the stream was last resumed; -1 if that was its start, -2
   * if it has not been resumed.
   */
  private lastResumeAfter = -2;
  private emptyConnections = 0;

  constructor(private readonly options: RequestStreamResumerOptions) {
    this.destination = options.destination;
  }

  /**
   * Opens the rest of the stream at its target, through whichever agent is
   * beside it now, within the resume window that the target stated.
   */
  async reopen(after: number): Promise<AttemptResponse | undefined> {
    const {upstream, events, job, random} = this.options;
    const {attempt} = upstream.hop;
    events.record('stream-broken', {attempt, after}, job.id);
    this.emptyConnections =
      after === this.lastResumeAfter ? this.emptyConnections + 1 : 0;
    this.lastResumeAfter = after;
    const deadline = performance.now() + resumeWindowMs(upstream.message);
    let tries = 0;
    while (this.canRetry(deadline)) {
      const rest = await this.open(after, tries, deadline);
      if (rest === 'gone') {
        break;
      }
      if (rest !== undefined) {
        events.record('stream-resumed', {attempt, after}, job.id);
        return rest;
      }
      tries += 1;
      await pause(retryDelayMs(tries + 1, random()));
    }
    events.record('stream-torn', {attempt, after}, job.id);
    return undefined;
  }

  /** Tells the target that the rest of the stream is not needed. */
  cancel(): void {
    const {upstream, attemptClient} = this.options;
    attemptClient.cancel(upstream.hop, this.destination);
  }

  private canRetry(deadline: number): boolean {
    return (
      !this.options.job.signal.aborted &&
      this.emptyConnections < MAX_EMPTY_CONNECTIONS &&
      performance.now() < deadline
    );
  }

  private async open(
    after: number,
    tries: number,
    deadline: number,
  ): Promise<AttemptResponse | 'gone' | undefined> {
    const {upstream, attemptClient, directory, job} = this.options;
    const {target} = this.options.destination;
    const destinations = [
      this.destination,
      ...directory.destinationsOf(target),
    ];
    const destination = destinations[tries % destinations.length];
    const now = performance.now();
    const sent = await attemptClient.send({
      hop: {...upstream.hop, budgetMs: remainingMs(job, now)},
      destination,
      method: 'GET',
      url: job.request.url,
      headers: {},
      body: Buffer.alloc(0),
      signal: job.signal,
      firstByteTimeoutMs: deadline - now,
      resumeAfter: after,
    });
    if (sent.isErr) {
      return sent.error.reason === RESUME_GONE ? 'gone' : undefined;
    }
    this.destination = destination;
    return sent.value;
  }
}
