import type {SettingsTree} from '@marigoldspur/settings-schema';
import type {Deployment} from './deployments.js';

/** Keys and certificates of a system. */
export interface SystemKeys {
  /** Flags of control, entries and agents with their certificate and key files. */
  readonly processFlags: readonly string[];
  /** Flags of entries with the caller keys and the certificate for callers. */
  readonly entryFlags: readonly string[];
  /** Certificate authority of the system, in PEM; without it, processes use plain HTTP. */
  readonly ca?: string;
  /** Token of an operator with permission to change settings. */
  readonly token?: string;
}

/** A process to which other processes of the system connect. */
export interface Listener {
  readonly name: string;
  readonly zone: string;
  readonly port: number;
}

/** Network between the processes of a system, for example one with injected faults. */
export interface Network {
  /** Registers all listening processes before any of them starts. */
  open(listeners: readonly Listener[]): Promise<void>;
  /** Returns the environment variables that route the connections of a process through the network. */
  createVariables(name: string): NodeJS.ProcessEnv;
}

/** Options of a system whose processes run on this machine. */
export interface SystemOptions {
  readonly deployments: readonly Deployment[];
  /** Settings tree at the start. */
  readonly tree: SettingsTree;
  /** Number of control replicas. */
  readonly controls: number;
  /** Number of entries. */
  readonly entries: number;
  /** Time to the first token of an engine, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time between tokens of an engine, in milliseconds. */
  readonly tokenMs?: number;
  /** Duration of a call to a plain service, in milliseconds. */
  readonly serviceCallMs?: number;
  /**
   * Log level; `info` by default. A higher level would hide the `process-started` events,
   * which show that a process has started.
   */
  readonly logLevel?: 'debug' | 'info';
  /** Keys and certificates; without them, the processes trust all connections from loopback. */
  readonly keys?: SystemKeys;
  /** Maximum number of requests in a batch of an engine. */
  readonly batchLimit?: number;
  /**
   * Zones to which the control replicas and the entries are assigned in turn; by default
   * each has its own.
   */
  readonly zones?: readonly string[];
  /** Network between control, entries and agents; direct loopback connections by default. */
  readonly network?: Network;
  /** Time in which a broken stream of an engine can be resumed, in milliseconds; 0 disables it. */
  readonly resumeMs?: number;
  /** Additional flags of each entry, for example of its shutdown. */
  readonly entryFlags?: readonly string[];
  /** Additional flags of each engine, for example of its prefix cache. */
  readonly engineFlags?: readonly string[];
}
