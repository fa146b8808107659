import {Fault} from '@marigoldspur/faults';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';

const CONFIRMATION_VALIDITY_MS = 500;
const CONFIRM_TIMEOUT_MS = 1_000;

/**
 * Confirms with a quorum that a replica has applied all committed commands. One
 * confirmation is shared by many followers.
 */
export class QuorumConfirmer {
  private confirmedAt = -Infinity;
  private pending: Promise<void> | undefined;

  constructor(
    private readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier'>,
  ) {}

  /**
   * Resolves once a quorum has confirmed the replica's state; a confirmation from the
   * last half second is reused. Throws `NO_QUORUM` if no quorum confirms it within one
   * second.
   */
  async confirm(now: number): Promise<void> {
    if (now - this.confirmedAt < CONFIRMATION_VALIDITY_MS) {
      return;
    }
    this.pending ??= this.confirmNow(now).finally(() => {
      this.pending = undefined;
    });
    await this.pending;
  }

  private async confirmNow(now: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      const fault = new Fault(
        'NO_QUORUM',
        'no quorum confirmed the state in time',
      );
      timer = setTimeout(() => reject(fault), CONFIRM_TIMEOUT_MS);
    });
    try {
      const barrier = await Promise.race([this.log.readBarrier(), timeout]);
      if (barrier.isErr) {
        throw barrier.error;
      }
      this.confirmedAt = now;
    } finally {
      clearTimeout(timer);
    }
  }
}
