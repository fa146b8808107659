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

interface Link {
  close: () => void;
  view?: EngineView;
  /** When the agent last sent a message, as a `performance.now()` time. */
  lastMessageAt: number;
  reconnectTimer?: NodeJS.Timeout;
}

/** Follows the state of engines that the agents beside them stream. */
export class EngineViewClient {
  private readonly links = new Map<string, Link>();

  constructor(private readonly options: EngineViewClientOptions) {}

  /** Follows exactly the engines at these addresses. */
  follow(addresses: ReadonlySet<string>): void {
    for (const address of addresses) {
      if (!this.links.has(address)) {
        const link: Link = {close: () => {}, lastMessageAt: -Infinity};
        this.links.set(address, link);
        this.open(address, link);
      }
    }
    for (const [address, link] of this.links) {
      if (!addresses.has(address)) {
        this.links.delete(address);
        clearTimeout(link.reconnectTimer);
        link.close();
      }
    }
  }

  /** The last known state of the engine at an address. */
  viewOf(address: string): EngineView | undefined {
    return this.links.get(address)?.view;
  }

  /**
   * Whether the agent beside an engine has reported recently and reaches the
   * engine at time `now`.
   */
  isAgentReachable(address: string, now: number): boolean {
    const link = this.links.get(address);
    const isFresh =
      link !== undefined && now - link.lastMessageAt < FRESHNESS_MS;
    return isFresh && link.view?.answers === true;
  }

  stop(): void {
    this.follow(new Set());
  }

  private open(address: string, link: Link): void {
    const {agent, agentUrl} = this.options;
    link.close = openLineStream({
      url: new URL(ENGINE_VIEW_PATH, agentUrl(address)),
      agent,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      onMessage: message => {
        link.view = ENGINE_VIEW_SCHEMA.parse(message);
        link.lastMessageAt = performance.now();
        this.options.onView(address, link.view);
      },
      onEnd: () => {
        link.reconnectTimer = setTimeout(
          () => this.open(address, link),
          RECONNECT_DELAY_MS,
        );
      },
    });
  }
}
