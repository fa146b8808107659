import type {AnswerLink, RelayedAnswer} from '@marigoldspur/dispatch';
import type {EventLog} from '@marigoldspur/event-log';
import type {Attempt, AttemptSender} from './attempt-sender.js';
import type {Call} from './call.js';
import type {RetryTurns} from './retry-turns.js';
import type {TargetFinder} from './target-finder.js';

/** What the resume of a stream works with. */
export interface StreamResumeOptions {
  readonly finder: TargetFinder;
  readonly sender: AttemptSender;
  readonly turns: RetryTurns;
  readonly events: EventLog;
}

const STATUS_OK = 200;

/** Lets the stream of one call that broke off go on at another target. */
export class StreamResume implements AnswerLink {
  private readonly excluded: Set<string>;
  private number: number;
  /** The attempt whose stream is read now, if not the first one's. */
  private current: Attempt | undefined;

  constructor(
    private readonly options: StreamResumeOptions,
    private readonly call: Call,
    first: Attempt,
  ) {
    this.excluded = new Set([first.target.id]);
    this.number = first.number;
  }

  /** Opens the rest of the stream after event `after`; undefined where no target gives it. */
  async reopen(after: number): Promise<RelayedAnswer | undefined> {
    this.end();
    const {call, options} = this;
    const isLast = this.number >= call.route.maxAttempts;
    if (call.signal.aborted || isLast) {
      return undefined;
    }
    if (!(await options.turns.take(call.service.name, call.signal))) {
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
    this.current = options.sender.begin(call, target, this.number);
    return this.open(this.current, after);
  }

  cancel(): void {
    this.end();
  }

  /** Counts no call any more at the target whose stream was read last. */
  end(): void {
    this.current?.run.end(performance.now());
    this.current = undefined;
  }

  private async open(
    attempt: Attempt,
    after: number,
  ): Promise<RelayedAnswer | undefined> {
    const {call} = this;
    const {events, sender} = this.options;
    const from = after < 0 ? call.head.resumeAfter : after;
    const sent = await sender.send(call, attempt, from);
    if (sent.isErr) {
      sender.failed(call, attempt, sent.error);
      return undefined;
    }
    if (sent.value.message.statusCode !== STATUS_OK) {
      sender.rejected(call, attempt, sent.value);
      return undefined;
    }
    const {number, run, target} = attempt;
    const details = {attempt: number, target: target.id, after};
    events.record('call-resumed', details, call.head.id);
    run.answered(sent.value.head, false, performance.now());
    return sent.value;
  }
}
