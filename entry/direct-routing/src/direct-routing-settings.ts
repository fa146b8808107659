import type {LinkSettings} from '@marigoldspur/link-security';
import type {QuotaTolerance} from '@marigoldspur/tenant-quotas';

/**
 * Retries that all entries together may send to one service in a sliding
 * window.
 */
export interface RetryAllowance {
  /** Share of the service's requests that may be retries. */
  readonly ratio: number;
  /** Retries that are allowed beyond that share. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Settings of an entry that sends calls directly to targets. */
export interface DirectRoutingSettings extends LinkSettings {
  /** Name of the process, stable across restarts. */
  readonly id: string;
  readonly zone: string;
  /** Port for other processes and operators. */
  readonly port: number;
  /** Memory that the process may use, in bytes; no limit if absent. */
  readonly memoryBytes?: number;
  /** Number of file descriptors that the process may open; no limit if absent. */
  readonly maxDescriptors?: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Base URLs of the replicas of control that are known at start. */
  readonly control: readonly string[];
  /** Address for callers, `host:port`. */
  readonly callers: string;
  /** Address for the balancer's readiness checks, `host:port`. */
  readonly readiness: string;
  /** Port of the agents beside targets. */
  readonly agentPort: number;
  /** Retries that all entries together may send to one service. */
  readonly retries: RetryAllowance;
  /**
   * Time after which no entry may use a removed key, in milliseconds; absent if that is not
   * bounded.
   */
  readonly keyRevocationMs?: number;
  /** By how much all entries together may exceed the quota of a tenant. */
  readonly quotaTolerance: QuotaTolerance;
  /** Time between the termination signal and a forced end, in milliseconds. */
  readonly graceMs: number;
}
