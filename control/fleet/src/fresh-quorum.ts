import {elapsedMs, type ClockReading} from '@marigoldspur/clock-readings';
import {withTimeout} from '@marigoldspur/abort-signals';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';

/** Options of a fresh quorum. */
export interface FreshQuorumOptions {
  readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier'>;
  readonly clock: () => ClockReading;
}

/**
 * Time after its start for which a barrier counts, in milliseconds. It outlasts the election of
 * another leader, and a lowered quota binds within 2.5 s of its acknowledgement.
 */
const VALID_MS = 2_000;
/** Age of the last barrier at which the next one is started, in milliseconds. */
const RENEW_AFTER_MS = 400;
/** Maximum wait for a barrier, in milliseconds; entries wait 300 ms for an answer. */
const MAX_WAIT_MS = 250;
/** Time after which a barrier without a result is given up, in milliseconds. */
const BARRIER_TIMEOUT_MS = 900;

/**
 * Confirms with a quorum that this replica has applied what was committed two seconds ago. A
 * barrier is shared by all who ask, and the next one starts before it expires; none starts
 * while nobody asks.
 */
export class FreshQuorum {
  /** Start of the last barrier that succeeded. */
  private confirmedAt: ClockReading | undefined;
  private pending: Promise<void> | undefined;

  constructor(private readonly options: FreshQuorumOptions) {}

  /** Whether a barrier that started less than two seconds ago has succeeded. */
  get isConfirmed(): boolean {
    return this.ageMs() < VALID_MS;
  }

  /** Resolves to whether a quorum confirms the state; waits for a barrier only if none is valid. */
  async confirm(): Promise<boolean> {
    if (this.ageMs() >= RENEW_AFTER_MS) {
      this.pending ??= this.renew().finally(() => {
        this.pending = undefined;
      });
    }
    if (!this.isConfirmed && this.pending !== undefined) {
      await withTimeout(this.pending, MAX_WAIT_MS, () => undefined);
    }
    return this.isConfirmed;
  }

  private ageMs(): number {
    return this.confirmedAt === undefined
      ? Infinity
      : elapsedMs(this.confirmedAt, this.options.clock());
  }

  private async renew(): Promise<void> {
    const startedAt = this.options.clock();
    const isOk = await withTimeout(
      this.options.log.readBarrier().then(barrier => barrier.isOk),
      BARRIER_TIMEOUT_MS,
      () => false,
    );
    if (isOk) {
      this.confirmedAt = startedAt;
    }
  }
}
