import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openCutLink,
  redirectVariables,
  type CutLink,
  type LinkState,
} from '@marigoldspur/cut-link';
import {freePorts, startChild, type Child} from '@marigoldspur/lab';

const CONTROL = '@marigoldspur/control-server';
const LOOPBACK = 'http://127.0.0.1';
const WHOLE: LinkState = {forward: true, backward: true};
const CUT: LinkState = {forward: false, backward: false};

/** Options of a group of control processes. */
export interface ControlGroupOptions {
  readonly replicas: number;
  /** Whether replicas reach each other by links of their own, so that a host can be cut off whole. */
  readonly ownLinks?: boolean;
  /** Further flags of each process. */
  readonly flags?: readonly string[];
}

/** Control processes that reach each other through links that can be cut. */
export interface ControlGroup {
  /** Base URLs past the links, for clients that a cut spares. */
  readonly directUrls: readonly string[];
  /** Base URLs through the links. */
  readonly linkUrls: readonly string[];
  readonly links: readonly CutLink[];
  child(index: number): Child;
  /** Cuts a replica off silently from everyone, both ways, or mends it; needs `ownLinks`. */
  isolate(index: number, isCut: boolean): void;
  /** Starts a replica again on its own data folder. */
  restart(index: number): Promise<void>;
  stop(): Promise<void>;
}

/** Starts control processes on loopback. */
export async function startControlGroup(
  options: ControlGroupOptions,
): Promise<ControlGroup> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-history-'));
  const ports = await freePorts(options.replicas);
  const links = await Promise.all(ports.map(port => openCutLink(port)));
  const linkUrls = links.map(link => `${LOOPBACK}:${link.port}`);
  const peerLinks = options.ownLinks ? await openPeerLinks(ports) : [];
  const variables = (index: number) =>
    options.ownLinks
      ? redirectVariables(
          Object.fromEntries(
            peerLinks
              .filter(({from}) => from === index)
              .map(({to, link}) => [links[to].port, link.port]),
          ),
        )
      : {};
  const start = (index: number) =>
    startChild(
      `control-${index}`,
      CONTROL,
      [
        ...['--id', `control-${index}`],
        ...['--zone', `zone-${index}`],
        ...['--port', String(ports[index])],
        ...['--advertised-url', linkUrls[index]],
        ...['--peers', linkUrls.join(',')],
        ...['--bootstrap', 'true'],
        ...['--data-folder', path.join(folder, `control-${index}`)],
        ...(options.flags ?? []),
      ],
      variables(index),
    );
  const children = ports.map((_, index) => start(index));
  await Promise.all(children.map(started));
  return {
    directUrls: ports.map(port => `${LOOPBACK}:${port}`),
    linkUrls,
    links,
    child: index => children[index],
    isolate: (index, isCut) => {
      const state = isCut ? CUT : WHOLE;
      links[index].set(state);
      peerLinks
        .filter(({from, to}) => from === index || to === index)
        .forEach(({link}) => link.set(state));
    },
    restart: async index => {
      await children[index].ended;
      children[index] = start(index);
      await started(children[index]);
    },
    stop: async () => {
      children.forEach(child => child.signal('SIGKILL'));
      await Promise.all(children.map(child => child.ended));
      const all = [...links, ...peerLinks.map(({link}) => link)];
      await Promise.all(all.map(link => link.close()));
      await rm(folder, {recursive: true, force: true});
    },
  };
}

interface PeerLink {
  readonly from: number;
  readonly to: number;
  readonly link: CutLink;
}

/** A link for each replica to each other one. */
function openPeerLinks(ports: readonly number[]): Promise<PeerLink[]> {
  const pairs = ports.flatMap((_, from) =>
    ports.map((port, to) => ({from, to, port})),
  );
  return Promise.all(
    pairs
      .filter(({from, to}) => from !== to)
      .map(async ({from, to, port}) => ({
        from,
        to,
        link: await openCutLink(port),
      })),
  );
}

function started(child: Child): Promise<string> {
  return child.line(line => line.includes('"process-started"'));
}
