import type http from 'node:http';
import {
  PREPARE_ANSWER_SCHEMA,
  PREPARE_PATH,
  ADAPTER_USAGE_PATH,
  type PrepareAnswer,
  type PrepareRequest,
} from '@marigoldspur/deployment';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';
import {AdapterUsageTracker} from './adapter-usage-tracker.js';

/** What adapter requests work with. */
export interface AdapterAgentClientOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly agent: http.Agent;
  /** Base URL of the agent beside a target. */
  readonly agentUrl: (address: string) => string;
}

const MAX_ANSWER_BYTES = 4_096;
/** Other adapters wait for the slot of one whose last call has ended, in milliseconds. */
const TELL_MS = 40;
const TELL_TIMEOUT_MS = 1_000;

/** Asks agents to make adapters ready, and tells them which ones calls use. */
export class AdapterAgentClient {
  private readonly uses = new AdapterUsageTracker();
  private readonly timer = setInterval(() => this.tell(), TELL_MS);

  constructor(private readonly options: AdapterAgentClientOptions) {}

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

  /** A call uses an adapter of the engine at an address until the returned function is called. */
  begin(address: string, adapter: string): () => void {
    return this.uses.startUse(address, adapter);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tell(): void {
    const {agent, agentUrl, entry} = this.options;
    for (const {address, begun, running} of this.uses.takeDueReports(
      performance.now(),
    )) {
      exchangeJson({
        url: new URL(ADAPTER_USAGE_PATH, agentUrl(address)),
        body: {entry, begun, running},
        agent,
        signal: AbortSignal.timeout(TELL_TIMEOUT_MS),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      }).catch(() => {
        // The next message tells everything that runs again.
      });
    }
  }
}
