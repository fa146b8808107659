import {createHash} from 'node:crypto';
import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import {Refusal} from '@marigoldspur/faults';
import type {Claim, Completion, StoredAnswer} from '@marigoldspur/messages';

/** Who claims: the entry and its boot. */
export interface Claimer {
  readonly entry: string;
  readonly boot: string;
}

/** What is claimed. */
export interface ClaimNeed {
  readonly customer: string;
  readonly key: string;
  readonly method: string;
  readonly url: string;
  readonly body: Buffer;
  readonly request: string;
  readonly retentionMs: number;
}

/** A claim that was granted, or the answer that was kept from the first run. */
export type ClaimResult =
  | {readonly result: 'granted'}
  | {readonly result: 'answered'; readonly answer: StoredAnswer};

const CLAIM_TIMEOUT_MS = 5_000;
const COMPLETION_TIMEOUT_MS = 30_000;
const RETRY_SOON_SECONDS = 1;

/** Claims requests that may not be repeated, before they are dispatched. */
export class ClaimDesk {
  constructor(
    private readonly client: ControlClient,
    private readonly claimer: Claimer,
  ) {}

  /** Takes a claim; a refusal says what is known of the first run. */
  async take(need: ClaimNeed): Promise<Result<ClaimResult, Refusal>> {
    const claim: Claim = {
      customer: need.customer,
      key: need.key,
      digest: digestOf(need),
      request: need.request,
      ...this.claimer,
      retentionMs: need.retentionMs,
    };
    const taken = await this.client.call(
      (replica, signal) => replica.takeClaim.mutate(claim, {signal}),
      performance.now() + CLAIM_TIMEOUT_MS,
    );
    if (taken.isErr) {
      return Result.err(
        new Refusal(
          'not-run',
          503,
          'claim_unavailable',
          'the request could not be claimed',
          RETRY_SOON_SECONDS,
        ),
      );
    }
    const outcome = taken.value;
    switch (outcome.outcome) {
      case 'granted':
        return Result.ok({result: 'granted'});
      case 'running':
        return Result.err(
          new Refusal(
            'unknown',
            409,
            'already_running',
            `request ${outcome.request} with this key runs now`,
            RETRY_SOON_SECONDS,
          ),
        );
      case 'completed':
        return outcome.answer !== undefined
          ? Result.ok({result: 'answered', answer: outcome.answer})
          : Result.err(
              new Refusal(
                'unknown',
                409,
                'already_run',
                `request ${outcome.request} ran with this key; its answer was not kept`,
              ),
            );
      case 'unknown':
        return Result.err(
          new Refusal(
            'unknown',
            409,
            'outcome_unknown',
            `request ${outcome.request} with this key may have run and is not repeated`,
          ),
        );
      case 'mismatch':
        return Result.err(
          new Refusal(
            'not-run',
            422,
            'key_reused',
            'the key was used with another request',
          ),
        );
    }
  }

  /** Ends a claim; control is asked until it answers or the time is over. */
  complete(completion: Completion): void {
    void this.client.call(
      (replica, signal) => replica.completeClaim.mutate(completion, {signal}),
      performance.now() + COMPLETION_TIMEOUT_MS,
    );
  }
}

function digestOf(need: ClaimNeed): string {
  return createHash('sha256')
    .update(`${need.method} ${need.url}\n`)
    .update(need.body)
    .digest('hex');
}
