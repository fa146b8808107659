import {
  openPartitionProxy,
  createRedirectVariables,
  type PartitionProxy,
} from '@marigoldspur/partition-proxy';
import type {Listener, Network} from '@marigoldspur/lab';

/** A network partition: some processes are cut off from others but still reach each other. */
export interface Cut {
  /** Names of the processes that are cut off. */
  readonly inside: ReadonlySet<string>;
  /** Names of the processes that they are cut off from; all others by default. */
  readonly outside?: ReadonlySet<string>;
  /** Whether traffic to the processes inside is blocked. */
  readonly blocksInward: boolean;
  /** Whether traffic from the processes inside is blocked. */
  readonly blocksOutward: boolean;
}

interface DirectedLink {
  readonly from: string;
  readonly to: string;
  readonly port: number;
  readonly link: PartitionProxy;
}

/** A network with a link from each process to each other process. A link that is cut keeps its connections open but carries no data. */
export class CutNetwork implements Network {
  private listeners: readonly Listener[] = [];
  private links: readonly DirectedLink[] = [];
  private readonly cuts = new Set<Cut>();

  async open(listeners: readonly Listener[]): Promise<void> {
    this.listeners = listeners;
    const pairs = listeners.flatMap(from =>
      listeners.filter(to => to !== from).map(to => ({from, to})),
    );
    this.links = await Promise.all(
      pairs.map(async ({from, to}) => ({
        from: from.name,
        to: to.name,
        port: to.port,
        link: await openPartitionProxy(to.port),
      })),
    );
  }

  createVariables(name: string): NodeJS.ProcessEnv {
    const outgoing = this.links.filter(({from}) => from === name);
    return createRedirectVariables(
      Object.fromEntries(outgoing.map(({port, link}) => [port, link.port])),
    );
  }

  /** Names of the processes in a zone. */
  processesInZone(zone: string): Set<string> {
    const inZone = this.listeners.filter(each => each.zone === zone);
    return new Set(inZone.map(({name}) => name));
  }

  /** Cuts the links between the processes of a cut; the returned function removes this cut. */
  cut(cut: Cut): () => void {
    this.cuts.add(cut);
    this.updateLinks();
    return () => {
      this.cuts.delete(cut);
      this.updateLinks();
    };
  }

  /** Closes all links. */
  async close(): Promise<void> {
    await Promise.all(this.links.map(({link}) => link.close()));
  }

  private updateLinks(): void {
    for (const {from, to, link} of this.links) {
      link.setState({
        forward: this.isOpen(from, to),
        backward: this.isOpen(to, from),
      });
    }
  }

  private isOpen(sender: string, receiver: string): boolean {
    return ![...this.cuts].some(cut => isBlocked(cut, sender, receiver));
  }
}

function isBlocked(cut: Cut, sender: string, receiver: string): boolean {
  const {inside, blocksInward, blocksOutward} = cut;
  const isOutbound = inside.has(sender) && isOutside(cut, receiver);
  const isInbound = isOutside(cut, sender) && inside.has(receiver);
  return (isOutbound && blocksOutward) || (isInbound && blocksInward);
}

function isOutside({inside, outside}: Cut, name: string): boolean {
  return outside?.has(name) ?? !inside.has(name);
}
