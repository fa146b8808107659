import type {LinkSettings} from '@marigoldspur/link-security';

/** Settings of an entry that sends calls straight to targets. */
export interface DirectSettings extends LinkSettings {
  /** Name of the process, stable over restarts. */
  readonly id: string;
  readonly zone: string;
  /** Port for other processes and operators. */
  readonly port: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Base URLs of replicas of control that are known from the start. */
  readonly control: readonly string[];
  /** Address for callers, `host:port`. */
  readonly callers: string;
  /** Address for the balancer's readiness checks, `host:port`. */
  readonly readiness: string;
  /** Port of the agents beside targets. */
  readonly agentPort: number;
  /** Time between a signal to end and its enforcement, in milliseconds. */
  readonly graceMs: number;
}
