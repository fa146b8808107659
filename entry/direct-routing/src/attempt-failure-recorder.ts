import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {discardBody} from '@marigoldspur/http-link';
import type {Attempt} from './attempt.js';
import {describePrompt, describeRequest} from './call-descriptions.js';
import type {Call} from './call.js';
import type {CrashRecorder} from './crash-recorder.js';
import type {CrashWitness} from './crash-witness.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import {
  createRefusalForFailure,
  type TargetFailure,
  type TargetResponse,
} from './target-client.js';
import type {TargetSelector} from './target-selector.js';

/** Options of an attempt failure recorder. */
export interface AttemptFailureRecorderOptions {
  readonly selector: Pick<
    TargetSelector,
    'recordFailure' | 'recordMissingAdapter'
  >;
  readonly crashes: Pick<CrashRecorder, 'createBlockRefusal' | 'recordBreak'>;
  readonly crashWitness: Pick<CrashWitness, 'recordSuccessor'>;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** Reason of the refusal of a call whose engine has unloaded the call's adapter. */
export const ADAPTER_MISSING = 'adapter_missing';
const RETRY_AFTER_SECONDS = 0.5;

/** Records attempts that did not serve their call, and creates the refusals for the callers. */
export class AttemptFailureRecorder {
  constructor(private readonly options: AttemptFailureRecorderOptions) {}

  /** Records a failure and returns the refusal for the caller. */
  recordFailure(call: Call, attempt: Attempt, failure: TargetFailure): Refusal {
    const {selector, events, metrics} = this.options;
    const {denial, kind, message, outcome} = failure;
    const {target} = attempt;
    if (kind !== 'ended') {
      const evidence = {
        invalid: 'connect-failed',
        connect: 'connect-failed',
        silent: 'timeout',
        broken: 'broken',
        crossed: 'broken',
        replaced: 'connect-failed',
      } as const;
      if (selector.recordFailure(target, evidence[kind], performance.now())) {
        events.record('target-suspected', {target: target.id, reason: kind});
      }
    }
    if (outcome !== 'not-run' && kind !== 'crossed' && kind !== 'replaced') {
      const isAborted = kind !== 'broken';
      this.options.crashes.recordBreak(call, target, {
        hasHead: false,
        isAborted,
      });
    }
    metrics.recordAttempt(call.service.name, kind);
    // The error of an attempt that was given up only says that its connection was closed.
    const reason = denial?.reason ?? kind;
    const explanation = denial?.message ?? message;
    this.record(call, attempt, reason, outcome, explanation);
    if (denial !== undefined) {
      return denial;
    }
    const isCancelled = kind === 'ended' && !call.signal.aborted;
    return isCancelled
      ? this.options.crashes.createBlockRefusal(call, outcome)
      : createRefusalForFailure(failure);
  }

  /**
   * Records a server error of the target, or its statement that it did not run
   * the call.
   */
  recordRejection(
    call: Call,
    attempt: Attempt,
    response: TargetResponse,
  ): Refusal {
    const {metadata, message} = response;
    discardBody(message);
    const lacksAdapter =
      metadata.isMisdirected &&
      this.recordMisdirection(call, attempt.target, metadata.target);
    const status = message.statusCode ?? 0;
    const reason = metadata.isMisdirected ? 'misdirected' : `status_${status}`;
    const outcome = metadata.hasNotRun ? 'not-run' : 'failed';
    const metricOutcome = metadata.hasNotRun ? 'rejected' : 'failed';
    this.options.metrics.recordAttempt(call.service.name, metricOutcome);
    this.record(call, attempt, reason, outcome);
    return new Refusal(
      outcome,
      metadata.hasNotRun ? 503 : 502,
      lacksAdapter ? ADAPTER_MISSING : rejectionReason(metadata.hasNotRun),
      `the target responded with status ${status}`,
      RETRY_AFTER_SECONDS,
    );
  }

  /**
   * Handles a response that shows that another target uses the address, or that
   * the target lacks the adapter. Returns whether it lacks the adapter.
   */
  private recordMisdirection(
    call: Call,
    target: TargetAnnouncement,
    respondingId: string | undefined,
  ): boolean {
    const {crashWitness, selector} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    const isOtherTarget =
      respondingId !== undefined && respondingId !== target.id;
    if (isOtherTarget) {
      crashWitness.recordSuccessor(target);
    }
    if (isOtherTarget || work === undefined) {
      selector.recordFailure(target, 'connect-failed', now);
      return false;
    }
    selector.recordMissingAdapter(target, work, now);
    return true;
  }

  private record(
    call: Call,
    {number, sentAfterMs, target}: Attempt,
    reason: string,
    outcome: string,
    message?: string,
  ): void {
    const details = {
      attempt: number,
      target: target.id,
      sentAfterMs,
      reason,
      outcome,
      ...(message !== undefined && message !== reason && {message}),
      ...(outcome === 'not-run' ? describePrompt(call) : describeRequest(call)),
    };
    this.options.events.record(
      'call-attempt-failed',
      details,
      call.metadata.id,
    );
  }
}

function rejectionReason(hasNotRun: boolean): string {
  return hasNotRun ? 'target_full' : 'target_failed';
}
