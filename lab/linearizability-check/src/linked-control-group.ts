import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  openPartitionProxy,
  createRedirectVariables,
  type PartitionProxy,
  type LinkState,
} from '@marigoldspur/partition-proxy';
import {findFreePorts, startChild, type Child} from '@marigoldspur/lab';

const CONTROL_PACKAGE = '@marigoldspur/control-server';
const LOOPBACK_URL = 'http://127.0.0.1';
const OPEN_LINK: LinkState = {forward: true, backward: true};
const CUT_LINK: LinkState = {forward: false, backward: false};

/** Options of a linked control group. */
export interface LinkedControlGroupOptions {
  /** Number of control processes. */
  readonly replicas: number;
  /** Whether each replica has its own links to the others, so that a replica can be isolated completely. */
  readonly hasPeerLinks?: boolean;
  /** Additional flags of each process. */
  readonly flags?: readonly string[];
}

/** A group of control processes that reach each other through links that can be cut. */
export interface LinkedControlGroup {
  /** Base URLs that bypass the links, for clients that a cut does not affect. */
  readonly directUrls: readonly string[];
  /** Base URLs through the links. */
  readonly linkUrls: readonly string[];
  /** The links of `linkUrls`, by the index of the replica. */
  readonly links: readonly PartitionProxy[];
  /** Returns the current process of a replica. */
  child(index: number): Child;
  /** Cuts all links of a replica silently in both directions, or restores them; requires `hasPeerLinks`. */
  isolate(index: number, isCut: boolean): void;
  /** Waits until the process of a replica has exited and starts another one on its data folder. */
  restart(index: number): Promise<void>;
  /** Kills all processes, closes the links and deletes the data folders. */
  stop(): Promise<void>;
}

/** Starts a group of control processes on loopback and waits until all have started. */
export async function startLinkedControlGroup(
  options: LinkedControlGroupOptions,
): Promise<LinkedControlGroup> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-history-'));
  const ports = await findFreePorts(options.replicas);
  const links = await Promise.all(ports.map(port => openPartitionProxy(port)));
  const linkUrls = links.map(link => `${LOOPBACK_URL}:${link.port}`);
  const peerLinks = options.hasPeerLinks ? await openPeerLinks(ports) : [];
  const buildEnvironment = (index: number) =>
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
      buildEnvironment(index),
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
  readonly link: PartitionProxy;
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
        link: await openPartitionProxy(port),
      })),
  );
}

function waitUntilStarted(child: Child): Promise<string> {
  return child.waitForLine(line => line.includes('"process-started"'));
}
