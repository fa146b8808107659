import type {SettingsTree} from '@marigoldspur/settings-schema';
import type {Deployment} from './deployments.js';

/** Keys of a system, made by whoever starts it. */
export interface SystemKeys {
  /** Flags of control, entries and agents that name their certificate and key files. */
  readonly processFlags: readonly string[];
  /** Flags of entries that name the keys of callers and the certificate that these see. */
  readonly entryFlags: readonly string[];
  /** Certificate authority of the system, in PEM; without it processes speak HTTP. */
  readonly ca?: string;
  /** Token of an operator who may change settings. */
  readonly token?: string;
}

/** A process of the system that listens for the others. */
export interface Listener {
  readonly name: string;
  readonly zone: string;
  readonly port: number;
}

/** What lies between the processes of a system. */
export interface Network {
  /** Takes every process that listens, before any of them starts. */
  open(listeners: readonly Listener[]): Promise<void>;
  /** Environment of a process, which sends its connections through the network. */
  variables(name: string): NodeJS.ProcessEnv;
}

/** Options of a system of processes on this machine. */
export interface SystemOptions {
  readonly deployments: readonly Deployment[];
  readonly tree: SettingsTree;
  readonly controls: number;
  readonly entries: number;
  /** Time to the first token of an engine, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time between tokens of an engine, in milliseconds. */
  readonly tokenMs?: number;
  /** Time of one call of a plain service, in milliseconds. */
  readonly serviceCallMs?: number;
  /** The start of a process is known by an event of level `info`, so no higher one. */
  readonly logLevel?: 'debug' | 'info';
  /** Without keys the processes trust loopback. */
  readonly keys?: SystemKeys;
  /** Requests in one batch of an engine. */
  readonly batchLimit?: number;
  /** Zones of the replicas of control and of the entries, in turn; each has its own by default. */
  readonly zones?: readonly string[];
  /** What lies between control, entries and agents; loopback alone by default. */
  readonly network?: Network;
  /** How long an engine keeps a broken stream, in milliseconds; 0 for not at all. */
  readonly resumeMs?: number;
  /** Further flags of each engine, as for its prefix cache. */
  readonly engineFlags?: readonly string[];
}
