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

/** What a stream link works with. */
export interface RequestStreamResumerOptions {
  readonly job: Job;
  /** Where the stream began. */
  readonly destination: Destination;
  /** The beginning of the stream. */
  readonly answer: AttemptResponse;
  readonly directory: Pick<TargetDirectory, 'reaching'>;
  readonly attemptClient: Pick<AttemptClient, 'send' | 'cancel'>;
  readonly events: EventLog;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Links that may break one after another without a further event. */
const MAX_EMPTY_LINKS = 5;
/** The engine no longer has the stream, so that asking again is of no use. */
const GONE = 'resume_gone';

/** The link to the target of a stream, which can be opened again where it stood. */
export class RequestStreamResumer implements StreamResumer {
  private destination: Destination;
  private lastAfter = -2;
  private emptyLinks = 0;

  constructor(private readonly options: RequestStreamResumerOptions) {
    this.destination = options.destination;
  }

  /**
   * Opens the rest of the stream at its target, whichever agent is beside it now, for as
   * long as the target said that it keeps the stream.
   */
  async reopen(after: number): Promise<AttemptResponse | undefined> {
    const {answer, events, job, random} = this.options;
    const {attempt} = answer.hop;
    events.record('stream-broken', {attempt, after}, job.id);
    this.emptyLinks = after === this.lastAfter ? this.emptyLinks + 1 : 0;
    this.lastAfter = after;
    const deadline = performance.now() + resumeWindowMs(answer.message);
    let tries = 0;
    while (this.mayTry(deadline)) {
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

  /** Tells the target that the rest is not wanted. */
  cancel(): void {
    const {answer, attemptClient: attempts} = this.options;
    attempts.cancel(answer.hop, this.destination);
  }

  private mayTry(deadline: number): boolean {
    return (
      !this.options.job.signal.aborted &&
      this.emptyLinks < MAX_EMPTY_LINKS &&
      performance.now() < deadline
    );
  }

  private async open(
    after: number,
    tries: number,
    deadline: number,
  ): Promise<AttemptResponse | 'gone' | undefined> {
    const {answer, attemptClient: attempts, directory, job} = this.options;
    const {target} = this.options.destination;
    const reaching = [this.destination, ...directory.reaching(target)];
    const destination = reaching[tries % reaching.length];
    const now = performance.now();
    const sent = await attempts.send({
      hop: {...answer.hop, budgetMs: remainingMs(job, now)},
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
      return sent.error.reason === GONE ? 'gone' : undefined;
    }
    this.destination = destination;
    return sent.value;
  }
}
