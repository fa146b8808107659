import type http from 'node:http';
import {MAX_TIMER_MS} from '@marigoldspur/abort-signals';
import {
  PERMIT_ANSWER_SCHEMA,
  REQUEST_LIMITS_PATH,
  REQUEST_PERMITS_PATH,
  type PermitAnswer,
  type PermitRequest,
  type TargetLimit,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';
import {rendezvousOrder} from '@marigoldspur/placement';

/** Options of a permit client. */
export interface PermitClientOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly events: EventLog;
}

/** A request for a permit, without what the client adds. */
export type PermitCall = Omit<PermitRequest, 'isStandIn'>;

/** Time for a replica to answer beyond the time that a call may wait, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;
/** Time for which a replica that did not answer is passed over, in milliseconds. */
const FAILED_REPLICA_MS = 2_000;
/** Time after which a call may try again where no replica answers, in milliseconds. */
const UNREACHABLE_WAIT_MS = 1_000;
/** The replica that grants a target's permits, and the one that stands in for it. */
const MAX_REPLICAS = 2;
const SEND_TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 4_096;

/**
 * Asks for permits to send calls to targets with a limit. All entries ask the same replica of
 * control for one target, and the next one if that does not answer.
 */
export class PermitClient {
  private readonly failedAt = new Map<string, number>();

  constructor(private readonly options: PermitClientOptions) {}

  /** Resolves to whether a call may be sent; never rejects. */
  async request(call: PermitCall, signal: AbortSignal): Promise<PermitAnswer> {
    const {id, bornAt} = call.limit;
    const replicas = rendezvousOrder(
      `${bornAt}/${id}`,
      this.options.replicas().map(name => ({name})),
    ).slice(0, MAX_REPLICAS);
    for (const [index, {name: replica}] of replicas.entries()) {
      const now = performance.now();
      const failedAt = this.failedAt.get(replica) ?? -Infinity;
      if (now - failedAt >= FAILED_REPLICA_MS) {
        const body = {...call, isStandIn: index > 0};
        const answer = await this.ask(replica, body, signal);
        if (answer !== undefined) {
          return answer;
        }
      }
    }
    return {isGranted: false, waitMs: UNREACHABLE_WAIT_MS};
  }

  /** Sends limits that targets stated to all replicas. */
  broadcastLimits(limits: readonly TargetLimit[]): void {
    this.options
      .replicas()
      .forEach(replica => this.sendLimits(replica, limits));
  }

  /** Sends limits that targets stated to one replica. */
  sendLimits(replica: string, limits: readonly TargetLimit[]): void {
    if (limits.length === 0) {
      return;
    }
    exchangeJson({
      url: new URL(REQUEST_LIMITS_PATH, replica),
      body: {limits},
      agent: this.options.agent,
      signal: AbortSignal.timeout(SEND_TIMEOUT_MS),
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    }).catch(thrown => {
      const {message} = toFault(thrown);
      this.options.events.record('request-limits-unsent', {
        replica,
        reason: message,
      });
    });
  }

  /** Asks one replica; undefined if it does not answer. */
  private async ask(
    replica: string,
    body: PermitRequest,
    signal: AbortSignal,
  ): Promise<PermitAnswer | undefined> {
    const timeout = AbortSignal.timeout(
      Math.min(MAX_TIMER_MS, ANSWER_TIMEOUT_MS + body.maxWaitMs),
    );
    try {
      const answer = await exchangeJson({
        url: new URL(REQUEST_PERMITS_PATH, replica),
        body,
        agent: this.options.agent,
        signal: timeout,
        maxAnswerBytes: MAX_RESPONSE_BYTES,
      });
      this.failedAt.delete(replica);
      return PERMIT_ANSWER_SCHEMA.parse(answer);
    } catch (thrown) {
      const {message} = toFault(thrown);
      this.failedAt.set(replica, performance.now());
      const details = {replica, target: body.limit.id, reason: message};
      this.options.events.record('request-permit-failed', details);
      return signal.aborted
        ? {isGranted: false, waitMs: UNREACHABLE_WAIT_MS}
        : undefined;
    }
  }
}
