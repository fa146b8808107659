import type http from 'node:http';
import {
  isReplicaUrl,
  replicasOf,
  type Consensus,
  type Message,
  type ReplicaAddress,
} from '@marigoldspur/consensus';
import {
  ReplicaLink,
  type DeliveryAnswer,
} from '@marigoldspur/replica-transport';

/** Options of a link registry. */
export interface LinkRegistryOptions {
  readonly consensus: Consensus;
  /** Base URL of this replica. */
  readonly url: string;
  /** Agent for connections to the other replicas. */
  readonly agent: http.Agent;
  /** Timeout of one delivery, in milliseconds. */
  readonly timeoutMs: number;
  /** Handles the answer to a delivery. */
  readonly onAnswer: (url: string, answer: DeliveryAnswer) => void;
}

/** The links to the other replicas by URL, and the URLs of replicas by ID. */
export class LinkRegistry {
  private readonly links = new Map<string, ReplicaLink>();
  /** URLs of replicas by ID, as stated in their deliveries. */
  private readonly senderUrls = new Map<string, string>();

  constructor(private readonly options: LinkRegistryOptions) {}

  /** Sends a message if the URL of its receiver is known and valid; otherwise drops it. */
  send(message: Message): void {
    const url = this.urlOf(message.to);
    if (url !== undefined && url !== this.options.url && isReplicaUrl(url)) {
      this.getOrCreateLink(url).enqueue(message);
    }
  }

  /** Returns the link to a URL and creates it if needed. */
  getOrCreateLink(url: string): ReplicaLink {
    const known = this.links.get(url);
    if (known !== undefined) {
      return known;
    }
    const {consensus, agent, timeoutMs, onAnswer} = this.options;
    const link = new ReplicaLink({
      from: {id: consensus.id, url: this.options.url},
      url,
      agent,
      timeoutMs,
      onAnswer: answer => onAnswer(url, answer),
    });
    this.links.set(url, link);
    return link;
  }

  /** Records the URL of a replica that sent a delivery. */
  recordSender({id, url}: ReplicaAddress): void {
    this.senderUrls.set(id, url);
  }

  /** URL of a replica, if known. */
  urlOf(id: string): string | undefined {
    const replicas = replicasOf(this.options.consensus.configuration);
    const known = replicas.find(replica => replica.id === id);
    return known?.url ?? this.senderUrls.get(id);
  }

  close(): void {
    this.links.forEach(link => link.close());
    this.options.agent.destroy();
  }
}
