import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openCutLink,
  createRedirectVariables,
  type CutLink,
  type LinkState,
} from '@marigoldspur/partition-proxy';
import {findFreePorts, startChild, type Child} from '@marigoldspur/lab';

const CONTROL_PACKAGE = '@marigoldspur/control-server';
const LOOPBACK_URL = 'http://127.0.0.1';
const OPEN_LINK: LinkState = {forward: true, backward: true};
const CUT_LINK: LinkState = {forward: false, backward: false};

/** Options of a group of control processes. */
export interface ControlGroupOptions {
  readonly replicas: number;
  /** Whether each replica has its own links to the others, so that a replica can be isolated completely. */
  readonly hasPeerLinks?: boolean;
  /** Additional flags of each process. */
  readonly flags?: readonly string[];
}

/** Control processes that reach each other through links that can be cut. */
export interface ControlGroup {
  /** Base URLs that bypass the links, for clients that a cut does not affect. */
  readonly directUrls: readonly string[];
  /** Base URLs through the links. */
  readonly linkUrls: readonly string[];
  readonly links: readonly CutLink[];
  child(index: number): Child;
  /** Cuts all links of a replica silently in both directions, or restores them; requires `hasPeerLinks`. */
  isolate(index: number, isCut: boolean): void;
  /** Restarts a replica on its data folder. */
  restart(index: number): Promise<void>;
  stop(): Promise<void>;
}

/** Starts a group of control processes on loopback. */
export async function startControlGroup(
  options: ControlGroupOptions,
): Promise<ControlGroup> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-history-'));
  const ports = await findFreePorts(options.replicas);
  const links = await Promise.all(ports.map(port => openCutLink(port)));
  const linkUrls = links.map(link => `${LOOPBACK_URL}:${link.port}`);
  const peerLinks = options.hasPeerLinks ? await openPeerLinks(ports) : [];
  const environment = (index: number) =>
    options.hasPeerLinks
      ? createRedirectVariables(
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
      CONTROL_PACKAGE,
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
      environment(index),
    );
  const children = ports.map((_, index) => start(index));
  await Promise.all(children.map(waitUntilStarted));
  return {
    directUrls: ports.map(port => `${LOOPBACK_URL}:${port}`),
    linkUrls,
    links,
    child: index => children[index],
    isolate: (index, isCut) => {
      const state = isCut ? CUT_LINK : OPEN_LINK;
      links[index].setState(state);
      peerLinks
        .filter(({from, to}) => from === index || to === index)
        .forEach(({link}) => link.setState(state));
    },
    restart: async index => {
      await children[index].ended;
      children[index] = start(index);
      await waitUntilStarted(children[index]);
    },
    stop: async () => {
      children.forEach(child => child.signal('SIGKILL'));
      await Promise.all(children.map(child => child.ended));
      const allLinks = [...links, ...peerLinks.map(({link}) => link)];
      await Promise.all(allLinks.map(link => link.close()));
      await rm(folder, {recursive: true, force: true});
    },
  };
}

interface PeerLink {
  readonly from: number;
  readonly to: number;
  readonly link: CutLink;
}

/** Opens a link from each replica to each other replica. */
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

function waitUntilStarted(child: Child): Promise<string> {
  return child.waitForLine(line => line.includes('"process-started"'));
}
