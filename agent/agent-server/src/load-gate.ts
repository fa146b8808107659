import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';
import type {PermitRequest} from '@marigoldspur/messages';

/** The right to load from the weight store once. */
export interface LoadTicket {
  /** Gives the right back. */
  release(loaded: boolean): void;
}

/** Hands out the right to load from a weight store. */
export interface LoadGate {
  /** Waits for a ticket until `deadlineMs`, a `performance.now()` time. */
  enter(
    request: Omit<PermitRequest, 'waitMs'>,
    deadlineMs: number,
  ): Promise<Result<LoadTicket, Fault>>;
}

const PERMIT_WAIT_MS = 5_000;
const CALL_SLACK_MS = 1_000;
const RELEASE_WAIT_MS = 5_000;

/** Asks control for each ticket. */
export class ControlLoadGate implements LoadGate {
  constructor(private readonly client: ControlClient) {}

  async enter(
    request: Omit<PermitRequest, 'waitMs'>,
    deadlineMs: number,
  ): Promise<Result<LoadTicket, Fault>> {
    while (performance.now() < deadlineMs) {
      const waitMs = Math.round(
        Math.min(PERMIT_WAIT_MS, deadlineMs - performance.now()),
      );
      const answer = await this.client.call(
        replica =>
          replica.acquirePermit.mutate(
            {...request, waitMs: Math.max(0, waitMs)},
            {signal: AbortSignal.timeout(waitMs + CALL_SLACK_MS)},
          ),
        Math.min(deadlineMs, performance.now() + waitMs + CALL_SLACK_MS),
      );
      if (answer.isErr) {
        return Result.err(answer.error);
      }
      const {permit} = answer.value;
      if (permit !== undefined) {
        return Result.ok({release: loaded => this.release(permit, loaded)});
      }
    }
    return Result.err(new Fault('TIMEOUT', 'no load permit came free in time'));
  }

  private release(permit: string, loaded: boolean): void {
    void this.client.call(
      (replica, signal) =>
        replica.releasePermit.mutate({permit, loaded}, {signal}),
      performance.now() + RELEASE_WAIT_MS,
    );
  }
}
