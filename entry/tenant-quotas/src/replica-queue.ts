import {elapsedMs, type ClockReading} from '@marigoldspur/clock-readings';
import {
  MAX_QUOTA_GRANTS,
  QUOTA_ANSWER_SCHEMA,
  type QuotaAmount,
  type QuotaDecision,
  type QuotaGrantRequest,
  type QuotaRequest,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, toFault} from '@marigoldspur/faults';
import type {QuotaMetrics} from './quota-metrics.js';

/** Sends a query to a replica of control; rejects if it gives no answer. */
export type Exchange = (
  replica: string,
  request: QuotaRequest,
) => Promise<unknown>;

/** Units that one replica granted. */
export interface ReplicaGrant extends QuotaAmount {
  /** Base URL of the replica. */
  readonly replica: string;
  /** When the query was sent. */
  readonly requestedAt: ClockReading;
}

/** Decision of a replica. */
export interface ReplicaDecision {
  /** What it granted, all or a part; undefined if nothing. */
  readonly grant?: ReplicaGrant;
  /** Whether it granted all units. */
  readonly isComplete: boolean;
  /** Expected time until there is room, in milliseconds; undefined if it does not know the tenant. */
  readonly waitMs: number | undefined;
  /** Whether the amount exceeds what all replicas together hold at most. */
  readonly isTooLarge: boolean;
}

/** Options of a replica queue. */
export interface ReplicaQueueOptions {
  readonly replica: string;
  readonly exchange: Exchange;
  readonly clock: () => ClockReading;
  readonly events: EventLog;
  readonly metrics: QuotaMetrics;
}

/** A request that waits for a query, or for its answer. */
interface PendingRequest {
  readonly amount: QuotaGrantRequest;
  /** Called with undefined if the replica does not answer in time. */
  readonly settle: (decision: ReplicaDecision | undefined) => void;
}

/** Time for a replica to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;
/** Time for which a replica that did not answer is skipped, in milliseconds. */
const SKIP_MS = 2_000;
/**
 * Time for which a replica without a quorum is skipped, in milliseconds. A quorum is back
 * within an election, after a second or so.
 */
const SKIP_WITHOUT_QUORUM_MS = 250;
/**
 * Delay after which a skipped replica that calls would ask is queried without a call, in milliseconds.
 * Replicas that are killed together are back before they would be asked again.
 */
const PROBE_DELAY_MS = 250;
/** Age of a query from which other replicas are asked first, in milliseconds. */
const SLOW_QUERY_MS = 100;
/** Maximum wait of unused units for the next query, in milliseconds. */
const GIVE_BACK_DELAY_MS = 50;
/**
 * Age after which unused units are not given back, in milliseconds. The replica must get them
 * within `PUT_BACK_WITHIN_MS` of their grant.
 */
const GIVE_BACK_WITHIN_MS = 500;
/** Maximum number of unused grants that wait to be given back; the oldest are dropped. */
const MAX_GIVEN_BACK = 4_096;

/** Queries one replica of control for units of quotas, with one query in flight at a time. */
export class ReplicaQueue {
  private waiting: PendingRequest[] = [];
  private givenBack: ReplicaGrant[] = [];
  private isQuerying = false;
  /** When the query in flight was sent; infinite if there is none. */
  private queryingSince = Infinity;
  private skippedUntil = -Infinity;
  /** Whether the last query was not answered in time. */
  private hasFailedLast = false;
  private giveBackTimer: NodeJS.Timeout | undefined;
  private probeTimer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(private readonly options: ReplicaQueueOptions) {}

  /** Base URL of the replica. */
  get replica(): string {
    return this.options.replica;
  }

  /**
   * Whether the last query was not answered in time, or the present one takes unusually long; a call
   * would have to wait for it.
   */
  get isDoubtful(): boolean {
    const now = this.options.clock().monotonicMs;
    return this.hasFailedLast || now - this.queryingSince > SLOW_QUERY_MS;
  }

  /** Whether the replica failed lately. */
  get isSkipped(): boolean {
    return this.options.clock().monotonicMs < this.skippedUntil;
  }

  /** Asks for units with the next query; resolves to undefined if the replica does not answer in time. */
  request(amount: QuotaGrantRequest): Promise<ReplicaDecision | undefined> {
    return new Promise(settle => {
      this.waiting.push({amount, settle});
      this.sendNext();
    });
  }

  /** Finds out soon whether a skipped replica answers again, without letting a call wait for it. */
  probe(): void {
    if (this.isStopped) {
      return;
    }
    this.probeTimer ??= setTimeout(() => {
      this.probeTimer = undefined;
      if (this.isSkipped && !this.isQuerying) {
        void this.query([], []);
      }
    }, PROBE_DELAY_MS);
  }

  /** Gives back units that were not used, with the next query. */
  giveBack(grant: ReplicaGrant): void {
    if (this.isStopped) {
      return;
    }
    this.givenBack.push(grant);
    if (this.givenBack.length > MAX_GIVEN_BACK) {
      this.givenBack.shift();
    }
    this.giveBackTimer ??= setTimeout(() => {
      this.giveBackTimer = undefined;
      this.sendNext();
    }, GIVE_BACK_DELAY_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.giveBackTimer);
    clearTimeout(this.probeTimer);
  }

  private sendNext(): void {
    if (this.isQuerying) {
      return;
    }
    if (this.isSkipped) {
      this.settleAll(this.waiting.splice(0), undefined);
      return;
    }
    const pending = this.waiting.splice(0, MAX_QUOTA_GRANTS);
    const returns = this.takeReturns();
    if (pending.length > 0 || returns.length > 0) {
      void this.query(pending, returns);
    }
  }

  /** Sends one query, settles its requests and sends the next one. */
  private async query(
    pending: readonly PendingRequest[],
    returns: readonly QuotaAmount[],
  ): Promise<void> {
    const {clock, exchange, metrics, replica} = this.options;
    this.isQuerying = true;
    const requestedAt = clock();
    this.queryingSince = requestedAt.monotonicMs;
    const grants = pending.map(({amount}) => amount);
    const answer = exchange(replica, {grants, returns: [...returns]}).then(
      raw => this.readAnswer(raw, grants, requestedAt),
    );
    const failure = await this.awaitAnswer(answer, requestedAt);
    this.isQuerying = false;
    this.queryingSince = Infinity;
    metrics.recordQuery(replica, failure === undefined);
    if (failure === undefined) {
      this.recordAnswer();
      this.settleAll(pending, await answer);
    } else {
      this.recordFailure(failure);
      this.settleAll(pending, undefined);
      answer.then(
        decisions => this.handleLateAnswer(decisions),
        () => undefined,
      );
    }
    this.sendNext();
  }

  /**
   * Gives back what a late answer grants, and asks the replica again: it is alive, and if this
   * process was stalled, the answers of all replicas are late.
   */
  private handleLateAnswer(decisions: readonly ReplicaDecision[]): void {
    this.skippedUntil = -Infinity;
    for (const {grant} of decisions) {
      if (grant !== undefined) {
        this.giveBack(grant);
      }
    }
    // The units are nearly too old to be given back.
    this.sendNext();
  }

  /** Resolves to why there is no answer in time; undefined if there is one. */
  private async awaitAnswer(
    answer: Promise<readonly ReplicaDecision[]>,
    requestedAt: ClockReading,
  ): Promise<Fault | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Fault>(resolve => {
      timer = setTimeout(() => resolve(createLateFault()), ANSWER_TIMEOUT_MS);
    });
    const failure = await Promise.race([
      answer.then(() => undefined, toFault),
      timeout,
    ]);
    clearTimeout(timer);
    // This process may have been frozen or suspended meanwhile.
    const tookMs = elapsedMs(requestedAt, this.options.clock());
    return (
      failure ?? (tookMs > ANSWER_TIMEOUT_MS ? createLateFault() : undefined)
    );
  }

  private readAnswer(
    raw: unknown,
    grants: readonly QuotaGrantRequest[],
    requestedAt: ClockReading,
  ): readonly ReplicaDecision[] {
    const answer = QUOTA_ANSWER_SCHEMA.parse(raw);
    if (answer.grants.length !== grants.length) {
      throw new Fault('INVALID_INPUT', 'the answer misses decisions');
    }
    return answer.grants.map((decision, index) =>
      this.toDecision(decision, grants[index], requestedAt),
    );
  }

  private toDecision(
    {granted, isTooLarge = false, waitMs}: QuotaDecision,
    {amount, tenant}: QuotaGrantRequest,
    requestedAt: ClockReading,
  ): ReplicaDecision {
    const {replica} = this.options;
    const units = Math.min(granted, amount);
    const grant = {tenant, amount: units, replica, requestedAt};
    const isComplete = units >= amount;
    return {isComplete, isTooLarge, waitMs, ...(units > 0 && {grant})};
  }

  /** Units that are still given back, summed for each tenant. */
  private takeReturns(): QuotaAmount[] {
    const now = this.options.clock();
    const amounts = new Map<string, number>();
    for (const {amount, requestedAt, tenant} of this.givenBack.splice(0)) {
      if (elapsedMs(requestedAt, now) <= GIVE_BACK_WITHIN_MS) {
        amounts.set(tenant, (amounts.get(tenant) ?? 0) + amount);
      }
    }
    return [...amounts]
      .slice(0, MAX_QUOTA_GRANTS)
      .map(([tenant, amount]) => ({tenant, amount}));
  }

  private settleAll(
    pending: readonly PendingRequest[],
    decisions: readonly ReplicaDecision[] | undefined,
  ): void {
    pending.forEach(({settle}, index) => settle(decisions?.[index]));
  }

  private recordAnswer(): void {
    const {events, replica} = this.options;
    this.skippedUntil = -Infinity;
    if (this.hasFailedLast) {
      this.hasFailedLast = false;
      events.record('quota-replica-answers', {replica});
    }
  }

  private recordFailure({code, message}: Fault): void {
    const {clock, events, replica} = this.options;
    const skipMs = code === 'NO_QUORUM' ? SKIP_WITHOUT_QUORUM_MS : SKIP_MS;
    this.skippedUntil = clock().monotonicMs + skipMs;
    if (!this.hasFailedLast) {
      this.hasFailedLast = true;
      const details = {replica, reason: message, skipMs};
      events.record('quota-replica-failed', details);
    }
  }
}

function createLateFault(): Fault {
  return new Fault('TIMEOUT', 'the replica did not answer in time');
}
