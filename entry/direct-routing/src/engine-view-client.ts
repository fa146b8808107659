import type http from 'node:http';
import {
  ENGINE_VIEW_PATH,
  ENGINE_VIEW_MAX_INTERVAL_MS,
  ENGINE_VIEW_SCHEMA,
  type EngineView,
} from '@marigoldspur/deployment';
import {openLineStream} from '@marigoldspur/fleet-client';

/** Options of an engine view client. */
export interface EngineViewClientOptions {
  /** HTTP agent for the connections. */
  readonly agent: http.Agent;
  /** Base URL of the agent beside a target. */
  readonly agentUrl: (address: string) => string;
  /** Called with each state that an agent reports. */
  readonly onView: (address: string, view: EngineView) => void;
}

const IDLE_TIMEOUT_MS = 2.5 * ENGINE_VIEW_MAX_INTERVAL_MS;
const RECONNECT_DELAY_MS = 300;
/**
 * Time without a message after which an agent counts as unreachable, in
 * milliseconds: it has missed one message.
 */
const FRESHNESS_MS = 1.5 * ENGINE_VIEW_MAX_INTERVAL_MS;

/** The stream of one agent, and what the agent last sent. */
interface AgentStream {
  close: () => void;
  view?: EngineView;
  /** When the agent last sent a message, as a `performance.now()` time. */
  lastMessageAt: number;
  reconnectTimer?: NodeJS.Timeout;
}

/** Follows the state of engines that the agents beside them stream. */
export class EngineViewClient {
  private readonly streams = new Map<string, AgentStream>();

  constructor(private readonly options: EngineViewClientOptions) {}

  /** Follows exactly the engines at these addresses. */
  follow(addresses: ReadonlySet<string>): void {
    for (const address of addresses) {
      if (!this.streams.has(address)) {
        const stream: AgentStream = {close: () => {}, lastMessageAt: -Infinity};
        this.streams.set(address, stream);
        this.open(address, stream);
      }
    }
    for (const [address, stream] of this.streams) {
      if (!addresses.has(address)) {
        this.streams.delete(address);
        clearTimeout(stream.reconnectTimer);
        stream.close();
      }
    }
  }

  /** The last known state of the engine at an address. */
  viewOf(address: string): EngineView | undefined {
    return this.streams.get(address)?.view;
  }

  /**
   * Whether the agent beside an engine has reported recently and reaches the
   * engine at time `now`.
   */
  isAgentReachable(address: string, now: number): boolean {
    const stream = this.streams.get(address);
    const isFresh =
      stream !== undefined && now - stream.lastMessageAt < FRESHNESS_MS;
    return isFresh && stream.view?.answers === true;
  }

  stop(): void {
    this.follow(new Set());
  }

  private open(address: string, stream: AgentStream): void {
    const {agent, agentUrl} = this.options;
    stream.close = openLineStream({
      url: new URL(ENGINE_VIEW_PATH, agentUrl(address)),
      agent,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      onMessage: message => {
        stream.view = ENGINE_VIEW_SCHEMA.parse(message);
        stream.lastMessageAt = performance.now();
        this.options.onView(address, stream.view);
      },
      onEnd: () => {
        stream.reconnectTimer = setTimeout(
          () => this.open(address, stream),
          RECONNECT_DELAY_MS,
        );
      },
    });
  }
}
