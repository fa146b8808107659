import type http from 'node:http';
import {
  PREPARE_ANSWER_SCHEMA,
  PREPARE_PATH,
  USES_PATH,
  type PrepareAnswer,
  type PrepareRequest,
} from '@marigoldspur/deployment';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** What adapter requests work with. */
export interface AdapterRequestsOptions {
  readonly agent: http.Agent;
  /** Base URL of the agent beside a target. */
  readonly agentUrl: (address: string) => string;
}

const MAX_ANSWER_BYTES = 4_096;
const FLUSH_MS = 400;
const FLUSH_TIMEOUT_MS = 1_000;

/** Asks agents to make adapters ready, and tells them which ones are used. */
export class AdapterRequests {
  private uses = new Map<string, Map<string, number>>();
  private readonly timer = setInterval(() => this.flush(), FLUSH_MS);

  constructor(private readonly options: AdapterRequestsOptions) {}

  /** Resolves once the engine at an address holds the adapter, or with why it does not. */
  async prepare(
    address: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    try {
      const answer = await exchangeJson({
        url: new URL(PREPARE_PATH, this.options.agentUrl(address)),
        body: request,
        agent: this.options.agent,
        signal,
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      return PREPARE_ANSWER_SCHEMA.parse(answer);
    } catch (thrown) {
      return {ready: false, reason: toFault(thrown).message};
    }
  }

  /** Takes note of the use of an adapter that the engine holds already. */
  used(address: string, adapter: string): void {
    const uses = this.uses.get(address) ?? new Map<string, number>();
    uses.set(adapter, (uses.get(adapter) ?? 0) + 1);
    this.uses.set(address, uses);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private flush(): void {
    const {uses} = this;
    this.uses = new Map();
    for (const [address, counts] of uses) {
      exchangeJson({
        url: new URL(USES_PATH, this.options.agentUrl(address)),
        body: {uses: [...counts]},
        agent: this.options.agent,
        signal: AbortSignal.timeout(FLUSH_TIMEOUT_MS),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      }).catch(() => {
        // Uses only steer which adapter leaves first; the next ones make up for lost ones.
      });
    }
  }
}
