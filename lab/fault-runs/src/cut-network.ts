import {
  openCutLink,
  redirectVariables,
  type CutLink,
} from '@marigoldspur/cut-link';
import type {Listener, Network} from '@marigoldspur/lab';

/** Processes that are cut off from others; what they say among each other passes. */
export interface Cut {
  /** Names of the processes that are cut off. */
  readonly inside: ReadonlySet<string>;
  /** Names of the processes that they are cut off from; all others where it is not given. */
  readonly outside?: ReadonlySet<string>;
  /** Whether nothing reaches them. */
  readonly inward: boolean;
  /** Whether nothing that they send leaves. */
  readonly outward: boolean;
}

interface DirectedLink {
  readonly from: string;
  readonly to: string;
  readonly port: number;
  readonly link: CutLink;
}

/** Links from each process to each other one, which can be cut silently. */
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
        link: await openCutLink(to.port),
      })),
    );
  }

  variables(name: string): NodeJS.ProcessEnv {
    const own = this.links.filter(({from}) => from === name);
    return redirectVariables(
      Object.fromEntries(own.map(({port, link}) => [port, link.port])),
    );
  }

  /** The processes of a zone. */
  namesIn(zone: string): Set<string> {
    const inZone = this.listeners.filter(each => each.zone === zone);
    return new Set(inZone.map(({name}) => name));
  }

  /** Cuts links until the returned function is called. */
  cut(cut: Cut): () => void {
    this.cuts.add(cut);
    this.apply();
    return () => {
      this.cuts.delete(cut);
      this.apply();
    };
  }

  /** Closes all links. */
  async close(): Promise<void> {
    await Promise.all(this.links.map(({link}) => link.close()));
  }

  private apply(): void {
    for (const {from, to, link} of this.links) {
      link.set({
        forward: this.passes(from, to),
        backward: this.passes(to, from),
      });
    }
  }

  private passes(sender: string, receiver: string): boolean {
    return ![...this.cuts].some(cut => stops(cut, sender, receiver));
  }
}

function stops(cut: Cut, sender: string, receiver: string): boolean {
  const {inside, inward, outward} = cut;
  const leaves = inside.has(sender) && isOutside(cut, receiver);
  const enters = isOutside(cut, sender) && inside.has(receiver);
  return (leaves && outward) || (enters && inward);
}

function isOutside({inside, outside}: Cut, name: string): boolean {
  return outside?.has(name) ?? !inside.has(name);
}
