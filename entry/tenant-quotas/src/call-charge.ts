import type {QuotaAmount} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import {USE_WITHIN_MS} from '@marigoldspur/tenant-quotas';
import type {QuotaGrant, QuotaOutcome} from './quota-client.js';

/** Units of a quota that one call uses. */
export interface Charge {
  /** Whether `secure` has to be called before the call is sent. */
  readonly isDue: boolean;
  /**
   * Makes sure that the call holds units for its next attempt. Resolves to the refusal of the
   * call if there are none.
   */
  secure(): Promise<Refusal | undefined>;
  /** Whether the call may be written to its target with the units that were spent last. */
  readonly mayBeUsed: boolean;
  /** Counts the units as used: the call is sent now. */
  spend(): void;
  /** Counts the units that were spent last as not used: that attempt did not run. */
  unspend(): void;
  /** Gives back what the call holds; called when the call has ended. */
  release(): void;
}

/** The charge of a call without a quota. */
export const NO_CHARGE: Charge = {
  isDue: false,
  mayBeUsed: true,
  secure: () => Promise.resolve(undefined),
  spend: () => undefined,
  unspend: () => undefined,
  release: () => undefined,
};

/** What a charge needs of the entry's quotas. */
export interface HeldCharges {
  request(amount: QuotaAmount): Promise<QuotaOutcome>;
  giveBack(grant: QuotaGrant): void;
  /** Time since the oldest units of a grant were requested, in milliseconds. */
  ageMs(grant: QuotaGrant): number;
  /** Called when a charge holds units; they are given back if it does not use them in time. */
  hold(charge: CallCharge): void;
  drop(charge: CallCharge): void;
}

/** Units that a charge holds or has spent. */
interface ChargedUnits {
  readonly grant: QuotaGrant;
  /** Age of the units when they were granted, in milliseconds. */
  readonly ageWhenGrantedMs: number;
}

/**
 * Age from which units are replaced before a call is sent, in milliseconds. Loading an adapter takes
 * about as long as units may be used, and connecting to the target takes the rest.
 */
const REPLACE_AFTER_MS = 200;
/** Time for which units are kept that are as old when they are granted, in milliseconds. */
const KEEP_GRANTED_MS = 50;
/** Minimum retry delay while a replica does not answer, in milliseconds. */
const MIN_UNAVAILABLE_DELAY_MS = 500;
const MS_PER_SECOND = 1_000;

/** The charge of a call whose tenant has a quota. */
export class CallCharge implements Charge {
  private held: ChargedUnits | undefined;
  private spent: ChargedUnits | undefined;

  constructor(
    private readonly quotas: HeldCharges,
    private readonly amount: QuotaAmount,
  ) {}

  get isDue(): boolean {
    const {held} = this;
    if (held === undefined) {
      return true;
    }
    const ageMs = this.quotas.ageMs(held.grant);
    const heldMs = ageMs - held.ageWhenGrantedMs;
    return (
      ageMs > USE_WITHIN_MS ||
      (ageMs > REPLACE_AFTER_MS && heldMs > KEEP_GRANTED_MS)
    );
  }

  get mayBeUsed(): boolean {
    return (
      this.spent !== undefined &&
      this.quotas.ageMs(this.spent.grant) <= USE_WITHIN_MS
    );
  }

  async secure(): Promise<Refusal | undefined> {
    if (!this.isDue) {
      return undefined;
    }
    this.release();
    const outcome = await this.quotas.request(this.amount);
    if (outcome.kind !== 'granted') {
      return createRefusal(outcome);
    }
    const {grant} = outcome;
    this.hold({grant, ageWhenGrantedMs: this.quotas.ageMs(grant)});
    return undefined;
  }

  spend(): void {
    this.spent = this.held;
    this.held = undefined;
    this.quotas.drop(this);
  }

  unspend(): void {
    const {spent} = this;
    this.spent = undefined;
    if (spent !== undefined) {
      this.hold(spent);
      this.releaseIfDue();
    }
  }

  release(): void {
    const {held} = this;
    this.held = undefined;
    this.quotas.drop(this);
    if (held !== undefined) {
      this.quotas.giveBack(held.grant);
    }
  }

  /** Gives back what the call holds if it may no longer be used; returns whether it still holds units. */
  releaseIfDue(): boolean {
    if (this.isDue) {
      this.release();
    }
    return this.held !== undefined;
  }

  private hold(units: ChargedUnits): void {
    this.held = units;
    this.quotas.hold(this);
  }
}

function createRefusal(
  outcome: Exclude<QuotaOutcome, {readonly kind: 'granted'}>,
): Refusal {
  const {kind, waitMs = 0} = outcome;
  return kind === 'exceeded'
    ? new Refusal(
        'not-run',
        429,
        'quota_exceeded',
        'the quota of the tenant has no room for this call',
        Math.ceil(waitMs) / MS_PER_SECOND,
      )
    : new Refusal(
        'not-run',
        503,
        'quota_unavailable',
        'the replicas of control that answer have no room left in the quota of the tenant',
        Math.ceil(Math.max(MIN_UNAVAILABLE_DELAY_MS, waitMs)) / MS_PER_SECOND,
      );
}
