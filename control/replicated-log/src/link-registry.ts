import type http from 'node:http';
import {
  replicasOf,
  type Consensus,
  type Message,
  type ReplicaAddress,
} from '@marigoldspur/consensus';
import {ReplicaLink, type DeliveryAnswer} from '@marigoldspur/log-links';

/** Options of a link table. */
export interface LinkRegistryOptions {
  readonly consensus: Consensus;
  /** Base URL of this replica. */
  readonly url: string;
  /** Connections to the other replicas. */
  readonly agent: http.Agent;
  /** Longest time of one delivery, in milliseconds. */
  readonly timeoutMs: number;
  /** Takes the answer to a delivery. */
  readonly onAnswer: (url: string, answer: DeliveryAnswer) => void;
}

/** The links to the other replicas, by URL, and where each identity is reached. */
export class LinkRegistry {
  private readonly links = new Map<string, ReplicaLink>();
  /** URLs of replicas by identity, as their deliveries state them. */
  private readonly senders = new Map<string, string>();

  constructor(private readonly options: LinkRegistryOptions) {}

  /** Sends a message where its receiver is known. */
  send(message: Message): void {
    const url = this.urlOf(message.to);
    if (url !== undefined && url !== this.options.url) {
      this.linkTo(url).enqueue(message);
    }
  }

  /** The link to a URL, opened where there is none. */
  linkTo(url: string): ReplicaLink {
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

  /** Notes where a replica that sent a delivery is reached. */
  recordSender({id, url}: ReplicaAddress): void {
    this.senders.set(id, url);
  }

  /** Where a replica is reached, if that is known. */
  urlOf(id: string): string | undefined {
    const replicas = replicasOf(this.options.consensus.configuration);
    const known = replicas.find(replica => replica.id === id);
    return known?.url ?? this.senders.get(id);
  }

  close(): void {
    this.links.forEach(link => link.close());
    this.options.agent.destroy();
  }
}
