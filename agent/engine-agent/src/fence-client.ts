import type http from 'node:http';
import {FENCE_ANSWER_SCHEMA, FENCES_PATH} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** What a fence holder works with. */
export interface FenceClientOptions {
  /** Name of the target that orders go to. */
  readonly target: string;
  readonly control: readonly string[];
  readonly agent: http.Agent;
  readonly events: EventLog;
}

const ASK_TIMEOUT_MS = 1_200;
const RETRY_MS = 250;
const MAX_ANSWER_BYTES = 4_096;

/** Holds the fencing number of an agent's orders, which rises with each start of an agent. */
export class FenceClient {
  private current: number | undefined;
  private asking = false;
  private stopped = false;
  private urls: readonly string[];
  private tries = 0;

  constructor(private readonly options: FenceClientOptions) {
    this.urls = options.control;
  }

  /** The number; undefined until control has given one. */
  get fence(): number | undefined {
    return this.current;
  }

  /** Takes over other base URLs of control. */
  setSeedUrls(urls: readonly string[]): void {
    this.urls = urls;
  }

  /** Asks control for a number that is higher than any before. */
  renew(): void {
    this.current = undefined;
    if (!this.asking) {
      this.asking = true;
      void this.ask();
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async ask(): Promise<void> {
    const {agent, events, target} = this.options;
    while (!this.stopped && this.current === undefined) {
      const url = this.urls[this.tries % this.urls.length];
      this.tries += 1;
      try {
        const answer = await exchangeJson({
          url: new URL(FENCES_PATH, url),
          body: {target},
          agent,
          signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
          maxAnswerBytes: MAX_ANSWER_BYTES,
        });
        const {fence} = FENCE_ANSWER_SCHEMA.parse(answer);
        this.current = fence;
        events.record('fence-granted', {target, fence});
      } catch (thrown) {
        const {message} = toFault(thrown);
        events.record('fence-awaited', {replica: url, reason: message});
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
      }
    }
    this.asking = false;
  }
}
