import type http from 'node:http';
import {
  ENGINE_VIEW_PATH,
  ENGINE_VIEW_MAX_INTERVAL_MS,
  ENGINE_VIEW_SCHEMA,
  type EngineView,
} from '@marigoldspur/deployment';
import {openLineStream} from '@marigoldspur/fleet-client';

/** What engine views work with. */
export interface EngineViewClientOptions {
  readonly agent: http.Agent;
  /** Base URL of the agent beside a target. */
  readonly agentUrl: (address: string) => string;
  /** Takes each state that an agent tells. */
  readonly onView: (address: string, view: EngineView) => void;
}

const SILENCE_MS = 2.5 * ENGINE_VIEW_MAX_INTERVAL_MS;
const RETRY_MS = 300;
/** An agent that missed a message is in doubt, in milliseconds. */
const HEARD_MS = 1.5 * ENGINE_VIEW_MAX_INTERVAL_MS;

interface Link {
  close: () => void;
  view?: EngineView;
  /** When the agent was heard last, as a `performance.now()` time. */
  heardAt: number;
  retry?: NodeJS.Timeout;
}

/** Follows the state of engines, as the agents beside them stream it. */
export class EngineViewClient {
  private readonly links = new Map<string, Link>();

  constructor(private readonly options: EngineViewClientOptions) {}

  /** Follows the engines at these addresses and no others. */
  follow(addresses: ReadonlySet<string>): void {
    for (const address of addresses) {
      if (!this.links.has(address)) {
        const link: Link = {close: () => {}, heardAt: -Infinity};
        this.links.set(address, link);
        this.open(address, link);
      }
    }
    for (const [address, link] of this.links) {
      if (!addresses.has(address)) {
        this.links.delete(address);
        clearTimeout(link.retry);
        link.close();
      }
    }
  }

  /** The last known state of the engine at an address. */
  viewOf(address: string): EngineView | undefined {
    return this.links.get(address)?.view;
  }

  /** Whether the agent beside an engine was just heard of, and reaches it, at time `now`. */
  isAgentReachable(address: string, now: number): boolean {
    const link = this.links.get(address);
    const isHeard = link !== undefined && now - link.heardAt < HEARD_MS;
    return isHeard && link.view?.answers === true;
  }

  stop(): void {
    this.follow(new Set());
  }

  private open(address: string, link: Link): void {
    const {agent, agentUrl} = this.options;
    link.close = openLineStream({
      url: new URL(ENGINE_VIEW_PATH, agentUrl(address)),
      agent,
      idleTimeoutMs: SILENCE_MS,
      onMessage: message => {
        link.view = ENGINE_VIEW_SCHEMA.parse(message);
        link.heardAt = performance.now();
        this.options.onView(address, link.view);
      },
      onEnd: () => {
        link.retry = setTimeout(() => this.open(address, link), RETRY_MS);
      },
    });
  }
}
