import {Result} from 'true-myth';
import type {StreamOrigin, TargetAnnouncement} from '@marigoldspur/deployment';
import type {StreamResumer, UpstreamResponse} from '@marigoldspur/dispatch';
import {
  findChargeRefusal,
  isExpiredCharge,
  isTenantChange,
  type TenantCharge,
} from '@marigoldspur/entry-quotas';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import type {AttemptSender} from './attempt-sender.js';
import type {Attempt} from './attempt.js';
import {findTenant, type Call} from './call.js';
import type {RetryLimiter} from './retry-limiter.js';
import type {StreamOrigins} from './stream-origins.js';
import type {TargetFinder} from './target-finder.js';
import {TriedTargets} from './tried-targets.js';

/** Options of a call stream resumer. */
export interface CallStreamResumerOptions {
  readonly finder: TargetFinder;
  readonly sender: AttemptSender;
  readonly retryLimiter: RetryLimiter;
  readonly streamOrigins: Pick<StreamOrigins, 'originAt'>;
  readonly events: EventLog;
}

const STATUS_OK = 200;
/** Maximum number of attempts that do not count because they were not sent. */
const MAX_UNSENT = 2;

/** Resumes the broken stream of one call at another target. */
export class CallStreamResumer implements StreamResumer {
  /** Origin of the events that the first attempt brings. */
  private readonly begunAt: StreamOrigin;
  private readonly tried: TriedTargets;
  private attemptNumber: number;
  /** Number of attempts that were not sent because their units had expired. */
  private unsentCount = 0;
  /** Whether the retry that was acquired for the last attempt is left, because that one was not sent. */
  private hasUnusedRetry = false;
  /**
   * The attempt whose stream is being read; undefined while that is the first
   * attempt.
   */
  private current: Attempt | undefined;

  constructor(
    private readonly options: CallStreamResumerOptions,
    private readonly call: Call,
    first: Attempt,
    /** Targets that did not serve earlier attempts of the call. */
    tried: TriedTargets,
    /** Whether the first attempt's response comes from the announced start of its target. */
    private readonly isAnnouncedStart: Promise<boolean> | undefined,
    /** Origin of the stream that the call takes up; undefined if the call begins it. */
    private readonly origin: StreamOrigin | undefined,
    /** Units of the tenant's quota that the call uses. */
    private readonly tenantCharge: TenantCharge,
  ) {
    this.begunAt = options.streamOrigins.originAt(call, first.target);
    this.tried = new TriedTargets(tried);
    this.tried.add(first.target.id);
    this.attemptNumber = first.number;
  }

  /**
   * Opens the rest of the stream after event `after`; undefined if no target
   * provides it.
   */
  async reopen(after: number): Promise<UpstreamResponse | undefined> {
    this.end();
    const hasBegun = after >= 0;
    if (hasBegun && (await this.isAnnouncedStart) === false) {
      return undefined;
    }
    for (;;) {
      const attempt = await this.startAttempt(hasBegun);
      if (attempt === undefined) {
        return undefined;
      }
      const opened = await this.open(attempt, after);
      if (opened.isOk) {
        return opened.value;
      }
      this.end();
      this.tried.add(attempt.target.id, opened.error);
      if (isTenantChange(opened.error)) {
        return undefined;
      }
      if (isExpiredCharge(opened.error)) {
        this.recordUnsent(attempt);
      }
    }
  }

  /** Lets an attempt that was not sent, because its units expired, count neither as one nor as a retry. */
  private recordUnsent({target}: Attempt): void {
    this.unsentCount += 1;
    if (this.unsentCount <= MAX_UNSENT) {
      this.tried.remove(target.id);
      this.hasUnusedRetry = true;
    }
  }

  /** Finds a target for the rest of the stream; undefined if there is none, or if no attempt is left. */
  private async startAttempt(hasBegun: boolean): Promise<Attempt | undefined> {
    const {call, options} = this;
    const unsent = Math.min(MAX_UNSENT, this.unsentCount);
    const isLast = this.attemptNumber - unsent >= call.route.maxAttempts;
    if (call.signal.aborted || isLast) {
      return undefined;
    }
    const mayRetry =
      this.hasUnusedRetry ||
      (await options.retryLimiter.acquire(call.service.name, call.signal));
    this.hasUnusedRetry = false;
    if (!mayRetry) {
      return undefined;
    }
    const target = await this.findTarget(hasBegun);
    if (target === undefined) {
      return undefined;
    }
    this.tried.add(target.id);
    this.attemptNumber += 1;
    this.current = options.sender.startAttempt(
      call,
      target,
      this.attemptNumber,
    );
    return this.current;
  }

  /** Finds a target, with units of the tenant's quota that have not expired by then. */
  private async findTarget(
    hasBegun: boolean,
  ): Promise<TargetAnnouncement | undefined> {
    const {call, options} = this;
    const {charge} = this.tenantCharge;
    do {
      if ((await charge.secure()) !== undefined) {
        return undefined;
      }
      const found = await this.tried.find(excluded =>
        options.finder.find(
          call,
          excluded,
          performance.now(),
          this.origin ?? (hasBegun ? this.begunAt : undefined),
        ),
      );
      if (found.isErr) {
        return undefined;
      }
      if (!charge.isDue) {
        return found.value;
      }
    } while (!call.signal.aborted);
    return undefined;
  }

  cancel(): void {
    this.end();
  }

  /** Stops counting the call at the target whose stream was read last. */
  end(): void {
    this.current?.tracker.end(performance.now());
    this.current = undefined;
  }

  private async open(
    attempt: Attempt,
    after: number,
  ): Promise<Result<UpstreamResponse, Refusal>> {
    const {call, tenantCharge} = this;
    const {charge} = tenantCharge;
    const {events, sender} = this.options;
    const resumeAfter = after < 0 ? call.metadata.resumeAfter : after;
    charge.spend();
    const sent = await sender.send(call, attempt, {
      findChargeRefusal: () =>
        findChargeRefusal(tenantCharge, findTenant(call)?.name),
      resumeAfter,
    });
    if (sent.isErr) {
      return this.refuse(sender.handleFailure(call, attempt, sent.error));
    }
    if (sent.value.message.statusCode !== STATUS_OK) {
      return this.refuse(sender.handleRejection(call, attempt, sent.value));
    }
    const {number, sentAfterMs, tracker, target} = attempt;
    const details = {
      attempt: number,
      target: target.id,
      version: target.softwareVersion ?? 'unknown',
      sentAfterMs,
      after,
    };
    events.record('call-resumed', details, call.metadata.id);
    tracker.recordResponse(sent.value.metadata, false, performance.now());
    return Result.ok(sent.value);
  }

  /** Ends an attempt without a rest; its units stay for the next one if it did not run. */
  private refuse(refusal: Refusal): Result<UpstreamResponse, Refusal> {
    if (refusal.outcome === 'not-run') {
      this.tenantCharge.charge.unspend();
    }
    return Result.err(refusal);
  }
}
