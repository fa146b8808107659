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
import {
  AdapterUsageTracker,
  type AdapterUsageReport,
} from './adapter-usage-tracker.js';

/** Options of an adapter agent client. */
export interface AdapterAgentClientOptions {
  /** Name of this entry. */
  readonly entry: string;
  /** HTTP agent for the connections. */
  readonly agent: http.Agent;
  /** Base URL of the agent beside a target. */
  readonly agentUrl: (address: string) => string;
}

const MAX_RESPONSE_BYTES = 4_096;
/**
 * Interval of usage reports, in milliseconds. It is short because other
 * adapters wait for the slot of an adapter whose last call has ended.
 */
const REPORT_INTERVAL_MS = 40;
const REPORT_TIMEOUT_MS = 1_000;

/**
 * Asks agents to load adapters, and reports to them which adapters calls use.
 */
export class AdapterAgentClient {
  private readonly usage = new AdapterUsageTracker();
  private readonly timer = setInterval(
    () => this.sendReports(),
    REPORT_INTERVAL_MS,
  );

  constructor(private readonly options: AdapterAgentClientOptions) {}

  /**
   * Waits until the engine at an address holds the adapter, or until it is
   * known why it does not.
   */
  async prepare(
    address: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    try {
      const response = await exchangeJson({
        url: new URL(PREPARE_PATH, this.options.agentUrl(address)),
        body: request,
        agent: this.options.agent,
        signal,
        maxAnswerBytes: MAX_RESPONSE_BYTES,
      });
      return PREPARE_ANSWER_SCHEMA.parse(response);
    } catch (thrown) {
      return {ready: false, reason: toFault(thrown).message};
    }
  }

  /**
   * Records that a call uses an adapter of the engine at an address until the
   * returned function is called.
   */
  startUse(address: string, adapter: string): () => void {
    return this.usage.startUse(address, adapter);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sendReports(): void {
    for (const report of this.usage.takeDueReports(performance.now())) {
      this.sendReport(report).catch(() => {
        // Later reports contain all running calls again.
      });
    }
  }

  private async sendReport({
    address,
    begun,
    running,
  }: AdapterUsageReport): Promise<void> {
    const {agent, agentUrl, entry} = this.options;
    await exchangeJson({
      url: new URL(ADAPTER_USAGE_PATH, agentUrl(address)),
      body: {entry, begun, running},
      agent,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    });
  }
}
