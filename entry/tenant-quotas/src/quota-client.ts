import type {QuotaAmount} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {rendezvousOrder} from '@marigoldspur/placement';
import type {ClockReading} from '@marigoldspur/tenant-quotas';
import type {QuotaMetrics} from './quota-metrics.js';
import {ReplicaQueue, type Exchange, type QuotaGrant} from './replica-queue.js';

/** Options of a quota client. */
export interface QuotaClientOptions {
  readonly exchange: Exchange;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly clock: () => ClockReading;
  readonly events: EventLog;
  readonly metrics: QuotaMetrics;
}

/** What became of a request for units. */
export type QuotaOutcome =
  | {readonly kind: 'granted'; readonly grant: QuotaGrant}
  | {
      readonly kind: 'exceeded';
      /** Time until the quota has room, in milliseconds. */
      readonly waitMs: number;
    }
  /** No replica that grants units of the quota answers. */
  | {readonly kind: 'unavailable'};

/** The replica that grants a tenant's quota, and the one that stands in for it. */
const MAX_FAILED = 2;
/** Maximum number of replicas that are asked, if this entry's list of them is old. */
const MAX_ASKED = 4;

/** Asks the replicas of control for units of tenants' quotas. */
export class QuotaClient {
  private readonly queues = new Map<string, ReplicaQueue>();

  constructor(private readonly options: QuotaClientOptions) {}

  /** Asks for units; never rejects. */
  async request(amount: QuotaAmount): Promise<QuotaOutcome> {
    const waits: number[] = [];
    let failed = 0;
    for (const queue of this.queuesFor(amount.tenant)) {
      const decision = queue.isSkipped
        ? undefined
        : await queue.request(amount);
      if (decision?.grant !== undefined) {
        return {kind: 'granted', grant: decision.grant};
      }
      if (decision !== undefined && decision.waitMs > 0) {
        waits.push(decision.waitMs);
      }
      failed += decision === undefined ? 1 : 0;
      if (
        (decision ?? {role: 'none'}).role !== 'none' ||
        failed >= MAX_FAILED
      ) {
        break;
      }
    }
    return waits.length > 0
      ? {kind: 'exceeded', waitMs: Math.min(...waits)}
      : {kind: 'unavailable'};
  }

  /** Gives back units that were not used. */
  giveBack(grant: QuotaGrant): void {
    this.queues.get(grant.replica)?.giveBack(grant);
  }

  stop(): void {
    this.queues.forEach(queue => queue.stop());
  }

  /** Queues of the replicas that may grant a tenant's quota, the most likely one first. */
  private queuesFor(tenant: string): ReplicaQueue[] {
    const replicas = this.options.replicas();
    this.dropOthers(replicas);
    return rendezvousOrder(
      tenant,
      replicas.map(name => ({name})),
    )
      .slice(0, MAX_ASKED)
      .map(({name}) => this.queueOf(name));
  }

  private queueOf(replica: string): ReplicaQueue {
    const known =
      this.queues.get(replica) ?? new ReplicaQueue({...this.options, replica});
    this.queues.set(replica, known);
    return known;
  }

  /** Drops the queues of replicas that are no longer listed. */
  private dropOthers(replicas: readonly string[]): void {
    if (this.queues.size <= replicas.length) {
      return;
    }
    const listed = new Set(replicas);
    for (const [replica, queue] of this.queues) {
      if (!listed.has(replica)) {
        queue.stop();
        this.queues.delete(replica);
      }
    }
  }
}
