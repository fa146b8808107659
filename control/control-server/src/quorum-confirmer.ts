import {Fault} from '@marigoldspur/faults';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';

const VALID_MS = 500;
const TIMEOUT_MS = 1_000;

/** Confirms with a quorum that a replica has applied everything committed; one confirmation serves many followers. */
export class QuorumConfirmer {
  private confirmedAt = -Infinity;
  private running: Promise<void> | undefined;

  constructor(
    private readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier'>,
  ) {}

  /**
   * Resolves once a quorum confirmed the replica's state, at most half a second ago.
   * Throws `NO_QUORUM` where none does so within a second.
   */
  async confirm(now: number): Promise<void> {
    if (now - this.confirmedAt < VALID_MS) {
      return;
    }
    this.running ??= this.run(now).finally(() => {
      this.running = undefined;
    });
    await this.running;
  }

  private async run(now: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      const fault = new Fault('NO_QUORUM', 'no quorum confirmed in time');
      timer = setTimeout(() => reject(fault), TIMEOUT_MS);
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
