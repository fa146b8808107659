import {elapsedMs, type ClockReading} from '@marigoldspur/clock-readings';
import type {QuotaAmount} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {USE_WITHIN_MS} from '@marigoldspur/tenant-quotas';
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
  /** When the units were taken from the reserve of this entry; absent if replicas granted them. */
  readonly reservedAt?: ClockReading;
}

/** What became of a request for units. */
export type QuotaOutcome =
  | {readonly kind: 'granted'; readonly grant: QuotaGrant}
  | {
      /** Whether all replicas lack room, or some of them did not answer, or not in time. */
      readonly kind: 'exceeded' | 'unavailable';
      /** Expected time until there is room, in milliseconds; undefined if not known. */
      readonly waitMs: number | undefined;
    };

/** What the replicas that were asked for one call decided. */
interface Collection {
  readonly tenant: string;
  parts: ReplicaGrant[];
  missing: number;
  waitMs: number | undefined;
  /** Whether the amount exceeds what all replicas together hold at most. */
  isTooLarge: boolean;
  /** Whether parts expired while others were collected. */
  hasExpired: boolean;
  /** Replicas that did not answer, or do not know the tenant; they are not asked again. */
  readonly failed: Set<ReplicaQueue>;
  /** Number of replicas that the call waited for in vain. */
  waitedInVain: number;
}

/** Asks the replicas of control, which have equal shares of all quotas, for units. */
export class QuotaClient {
  private readonly queues = new Map<string, ReplicaQueue>();
  private readonly estimates = new RoomEstimates();

  constructor(private readonly options: QuotaClientOptions) {}

  /**
   * Asks for units; never rejects. One replica after the other is asked for all of them, and then
   * for the parts that they have, once more if parts expire while a replica does not answer.
   */
  async request(amount: QuotaAmount): Promise<QuotaOutcome> {
    const queues = this.queuesInTurn();
    const collection = createCollection(amount);
    await this.collect(queues, collection, false);
    if (this.mayCollectParts(amount, collection)) {
      await this.collect(queues, collection, true);
      if (collection.missing > 0 && collection.hasExpired) {
        await this.collect(queues, collection, true);
      }
    }
    const {failed, isTooLarge, missing, parts, waitMs} = collection;
    if (missing <= 0) {
      return {kind: 'granted', grant: {...amount, parts}};
    }
    this.giveBackParts(parts);
    if (waitMs !== undefined) {
      this.estimates.recordNoRoom(amount, waitMs, this.now());
    }
    // Without a wait none lacked room: there was no replica, or the units expired.
    const isUnknown = failed.size > 0 || waitMs === undefined;
    const kind = isUnknown && !isTooLarge ? 'unavailable' : 'exceeded';
    return {kind, waitMs};
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

  /** Whether replicas may have parts that suffice together, as far as is known. */
  private mayCollectParts(
    amount: QuotaAmount,
    {isTooLarge, missing}: Collection,
  ): boolean {
    return (
      missing > 0 &&
      !isTooLarge &&
      this.estimates.noRoomMs(amount, this.now()) === undefined
    );
  }

  /**
   * Asks replicas until no unit is missing. Once a majority was waited for in vain there is no
   * quorum, so that no other one is asked.
   */
  private async collect(
    queues: readonly ReplicaQueue[],
    collection: Collection,
    isDivisible: boolean,
  ): Promise<void> {
    for (const queue of queues) {
      if (
        collection.missing <= 0 ||
        collection.waitedInVain > queues.length / 2
      ) {
        return;
      }
      if (!collection.failed.has(queue)) {
        await this.ask(queue, collection, isDivisible);
        this.dropExpired(collection);
      }
    }
  }

  /** Asks one replica for what is missing, unless it had no room for that a moment ago. */
  private async ask(
    queue: ReplicaQueue,
    collection: Collection,
    isDivisible: boolean,
  ): Promise<void> {
    const {missing, tenant} = collection;
    const request = {tenant, amount: missing, isDivisible};
    const noRoomMs = isDivisible
      ? undefined
      : this.estimates.noRoomMs(request, this.now(), queue.replica);
    if (noRoomMs !== undefined) {
      addWait(collection, noRoomMs);
      return;
    }
    if (queue.isSkipped) {
      queue.probe();
      collection.failed.add(queue);
      return;
    }
    const decision = await queue.request(request);
    addDecision(collection, queue, decision);
    const {isComplete = false, waitMs} = decision ?? {};
    if (!isDivisible && !isComplete && waitMs !== undefined) {
      const {replica} = queue;
      this.estimates.recordNoRoom(request, waitMs, this.now(), replica);
    }
  }

  /** Gives back parts that expired while the call waited for others; their units are missing again. */
  private dropExpired(collection: Collection): void {
    const now = this.options.clock();
    const isExpired = ({requestedAt}: ReplicaGrant) =>
      elapsedMs(requestedAt, now) > USE_WITHIN_MS;
    const expired = collection.parts.filter(isExpired);
    if (expired.length > 0) {
      collection.hasExpired = true;
      collection.parts = collection.parts.filter(part => !isExpired(part));
      expired.forEach(({amount}) => (collection.missing += amount));
      this.giveBackParts(expired);
    }
  }

  private now(): number {
    return this.options.clock().monotonicMs;
  }

  /**
   * Queues of all replicas, from a random one on, so that their shares are used alike; those that did
   * not answer last, or do not answer now, come last, because a call would wait for them.
   */
  private queuesInTurn(): ReplicaQueue[] {
    const replicas = this.options.replicas();
    this.dropOthers(replicas);
    const start = Math.floor(this.options.random() * replicas.length);
    const queues = [...replicas.slice(start), ...replicas.slice(0, start)].map(
      name => this.queueOf(name),
    );
    return [
      ...queues.filter(queue => !queue.isDoubtful),
      ...queues.filter(queue => queue.isDoubtful),
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

function createCollection({amount, tenant}: QuotaAmount): Collection {
  return {
    tenant,
    parts: [],
    missing: amount,
    waitMs: undefined,
    isTooLarge: false,
    hasExpired: false,
    failed: new Set(),
    waitedInVain: 0,
  };
}

/** Adds what a replica decided; undefined if it did not answer. */
function addDecision(
  collection: Collection,
  queue: ReplicaQueue,
  decision: ReplicaDecision | undefined,
): void {
  const {grant, isTooLarge = false, waitMs} = decision ?? {};
  if (decision === undefined) {
    collection.waitedInVain += 1;
  }
  if (grant !== undefined) {
    collection.parts.push(grant);
    collection.missing -= grant.amount;
  }
  collection.isTooLarge ||= isTooLarge;
  if (waitMs === undefined) {
    collection.failed.add(queue);
  } else if (decision?.isComplete === false) {
    addWait(collection, waitMs);
  }
}

function addWait(collection: Collection, waitMs: number): void {
  collection.waitMs = Math.min(collection.waitMs ?? Infinity, waitMs);
}
