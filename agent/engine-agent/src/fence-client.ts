import type http from 'node:http';
import {FENCE_ANSWER_SCHEMA, FENCES_PATH} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** Options of a fence client. */
export interface FenceClientOptions {
  /** Name of the target that receives the orders. */
  readonly target: string;
  /** Base URLs of the replicas of control. */
  readonly control: readonly string[];
  readonly agent: http.Agent;
  readonly events: EventLog;
}

const REQUEST_TIMEOUT_MS = 1_200;
const RETRY_DELAY_MS = 250;
const MAX_RESPONSE_BYTES = 4_096;

/**
 * Requests the fencing number for an agent's orders from control, and repeats
 * the request until a replica grants one. The number increases with each grant.
 */
export class FenceClient {
  private current: number | undefined;
  private isRequesting = false;
  private isStopped = false;
  private seedUrls: readonly string[];
  private attempts = 0;

  constructor(private readonly options: FenceClientOptions) {
    this.seedUrls = options.control;
  }

  /** The fencing number; undefined until control has granted one. */
  get fence(): number | undefined {
    return this.current;
  }

  /** Replaces the base URLs of control. */
  setSeedUrls(seedUrls: readonly string[]): void {
    this.seedUrls = seedUrls;
  }

  /**
   * Discards the current number and requests one that is higher than all earlier
   * ones.
   */
  renew(): void {
    this.current = undefined;
    if (!this.isRequesting) {
      this.isRequesting = true;
      void this.requestFence();
    }
  }

  /** Stops requesting a number. */
  stop(): void {
    this.isStopped = true;
  }

  private async requestFence(): Promise<void> {
    const {agent, events, target} = this.options;
    while (!this.isStopped && this.current === undefined) {
      const url = this.seedUrls[this.attempts % this.seedUrls.length];
      this.attempts += 1;
      try {
        const answer = await exchangeJson({
          url: new URL(FENCES_PATH, url),
          body: {target},
          agent,
          signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
          maxAnswerBytes: MAX_RESPONSE_BYTES,
        });
        const {fence} = FENCE_ANSWER_SCHEMA.parse(answer);
        this.current = fence;
        events.record('fence-granted', {target, fence});
      } catch (thrown) {
        const {message} = toFault(thrown);
        events.record('fence-awaited', {replica: url, reason: message});
        await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
      }
    }
    this.isRequesting = false;
  }
}
