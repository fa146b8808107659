import type {StreamResumer, UpstreamResponse} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import type {Attempt, AttemptSender} from './attempt-sender.js';
import type {Call} from './call.js';
import type {RetryLimiter} from './retry-limiter.js';
import type {TargetFinder} from './target-finder.js';

/** What the resume of a stream works with. */
export interface CallStreamResumerOptions {
  readonly finder: TargetFinder;
  readonly sender: AttemptSender;
  readonly retryLimiter: RetryLimiter;
  readonly events: EventLog;
}

const STATUS_OK = 200;

/** Lets the stream of one call that broke off go on at another target. */
export class CallStreamResumer implements StreamResumer {
  private readonly excluded: Set<string>;
  private number: number;
  /** The attempt whose stream is read now, if not the first one's. */
  private current: Attempt | undefined;

  constructor(
    private readonly options: CallStreamResumerOptions,
    private readonly call: Call,
    first: Attempt,
  ) {
    this.excluded = new Set([first.target.id]);
    this.number = first.number;
  }

  /** Opens the rest of the stream after event `after`; undefined where no target gives it. */
  async reopen(after: number): Promise<UpstreamResponse | undefined> {
    this.end();
    const {call, options} = this;
    const isLast = this.number >= call.route.maxAttempts;
    if (call.signal.aborted || isLast) {
      return undefined;
    }
    if (!(await options.retryLimiter.acquire(call.service.name, call.signal))) {
      return undefined;
    }
    const now = performance.now();
    const found = await options.finder.find(call, this.excluded, now);
    if (found.isErr) {
      return undefined;
    }
    const target = found.value;
    this.excluded.add(target.id);
    this.number += 1;
    this.current = options.sender.startAttempt(call, target, this.number);
    return this.open(this.current, after);
  }

  cancel(): void {
    this.end();
  }

  /** Counts no call any more at the target whose stream was read last. */
  end(): void {
    this.current?.tracker.end(performance.now());
    this.current = undefined;
  }

  private async open(
    attempt: Attempt,
    after: number,
  ): Promise<UpstreamResponse | undefined> {
    const {call} = this;
    const {events, sender} = this.options;
    const from = after < 0 ? call.head.resumeAfter : after;
    const sent = await sender.send(call, attempt, from);
    if (sent.isErr) {
      sender.handleFailure(call, attempt, sent.error);
      return undefined;
    }
    if (sent.value.message.statusCode !== STATUS_OK) {
      sender.handleRejection(call, attempt, sent.value);
      return undefined;
    }
    const {number, tracker: run, target} = attempt;
    const details = {attempt: number, target: target.id, after};
    events.record('call-resumed', details, call.head.id);
    run.recordResponse(sent.value.head, false, performance.now());
    return sent.value;
  }
}
