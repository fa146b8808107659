import type {QuotaAmount} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {ClockReading} from '@marigoldspur/tenant-quotas';
import type {QuotaMetrics} from './quota-metrics.js';
import {
  ReplicaQueue,
  type Exchange,
  type ReplicaDecision,
  type ReplicaGrant,
} from './replica-queue.js';
import {RoomEstimates} from './room-estimates.js';

/** Options of a quota client. */
export interface QuotaClientOptions {
  readonly exchange: Exchange;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly clock: () => ClockReading;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
  readonly metrics: QuotaMetrics;
}

/** Units that were granted for one call, by one replica or several. */
export interface QuotaGrant extends QuotaAmount {
  readonly parts: readonly ReplicaGrant[];
}

/** What became of a request for units. */
export type QuotaOutcome =
  | {readonly kind: 'granted'; readonly grant: QuotaGrant}
  | {
      /** Whether all replicas lack room, or some of them did not answer. */
      readonly kind: 'exceeded' | 'unavailable';
      /** Expected time until there is room, in milliseconds; undefined if not known. */
      readonly waitMs: number | undefined;
    };

/** What the replicas that were asked for one call decided. */
interface Collection {
  readonly parts: ReplicaGrant[];
  missing: number;
  waitMs: number | undefined;
  /** Whether a replica did not answer. */
  hasFailure: boolean;
}

/** Asks the replicas of control, which have equal shares of all quotas, for units. */
export class QuotaClient {
  private readonly queues = new Map<string, ReplicaQueue>();
  private readonly estimates = new RoomEstimates();

  constructor(private readonly options: QuotaClientOptions) {}

  /**
   * Asks for units; never rejects. One replica after the other is asked for all of them, and then
   * for the parts that they have.
   */
  async request(amount: QuotaAmount): Promise<QuotaOutcome> {
    const queues = this.queuesInTurn();
    const collection: Collection = {
      parts: [],
      missing: amount.amount,
      waitMs: undefined,
      hasFailure: queues.length === 0,
    };
    await this.collect(queues, amount.tenant, collection, false);
    if (collection.missing > 0 && !this.isExhausted(amount)) {
      await this.collect(queues, amount.tenant, collection, true);
    }
    const {hasFailure, missing, parts, waitMs} = collection;
    if (missing <= 0) {
      return {kind: 'granted', grant: {...amount, parts}};
    }
    this.giveBackParts(parts);
    if (waitMs !== undefined && !hasFailure) {
      this.estimates.recordNoRoom(amount, waitMs, this.now());
    }
    return {kind: hasFailure ? 'unavailable' : 'exceeded', waitMs};
  }

  /** Gives back units that were not used. */
  giveBack({parts}: QuotaGrant): void {
    this.giveBackParts(parts);
  }

  stop(): void {
    this.queues.forEach(queue => queue.stop());
  }

  private giveBackParts(parts: readonly ReplicaGrant[]): void {
    parts.forEach(part => this.queues.get(part.replica)?.giveBack(part));
  }

  /** Asks replicas until no unit is missing. */
  private async collect(
    queues: readonly ReplicaQueue[],
    tenant: string,
    collection: Collection,
    isDivisible: boolean,
  ): Promise<void> {
    for (const queue of queues) {
      const request = {tenant, amount: collection.missing, isDivisible};
      const scope = isDivisible ? undefined : queue.replica;
      const noRoomMs =
        scope === undefined
          ? undefined
          : this.estimates.noRoomMs(request, this.now(), scope);
      if (noRoomMs !== undefined) {
        collection.waitMs = Math.min(collection.waitMs ?? Infinity, noRoomMs);
        continue;
      }
      const decision = queue.isSkipped
        ? undefined
        : await queue.request(request);
      this.addDecision(collection, decision);
      if (collection.missing <= 0) {
        return;
      }
      if (scope !== undefined && decision?.waitMs !== undefined) {
        this.estimates.recordNoRoom(
          request,
          decision.waitMs,
          this.now(),
          scope,
        );
      }
    }
  }

  private addDecision(
    collection: Collection,
    decision: ReplicaDecision | undefined,
  ): void {
    collection.hasFailure ||= decision?.waitMs === undefined;
    if (decision?.grant !== undefined) {
      collection.parts.push(decision.grant);
      collection.missing -= decision.grant.amount;
    }
    if (decision?.waitMs !== undefined) {
      const {waitMs = Infinity} = collection;
      collection.waitMs = Math.min(waitMs, decision.waitMs);
    }
  }

  /** Whether all replicas together lacked room for such an amount a moment ago. */
  private isExhausted(amount: QuotaAmount): boolean {
    return this.estimates.noRoomMs(amount, this.now()) !== undefined;
  }

  private now(): number {
    return this.options.clock().monotonicMs;
  }

  /**
   * Queues of all replicas, from a random one on, so that their shares are used alike; those that did
   * not answer last come last, because a call would wait for them.
   */
  private queuesInTurn(): ReplicaQueue[] {
    const replicas = this.options.replicas();
    this.dropOthers(replicas);
    const start = Math.floor(this.options.random() * replicas.length);
    const queues = [...replicas.slice(start), ...replicas.slice(0, start)].map(
      name => this.queueOf(name),
    );
    return [
      ...queues.filter(queue => !queue.hasFailed),
      ...queues.filter(queue => queue.hasFailed),
    ];
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
