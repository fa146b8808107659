import type {ClockReading} from '@marigoldspur/clock-readings';
import type {Deployment, Route} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import {
  digestKey,
  TenantDirectory,
  type KeyFreshness,
  type TenantProfile,
} from '@marigoldspur/tenant-access';
import type {TenantMetrics} from './tenant-metrics.js';

/** What the key of one call permits, by the newest configuration at the time of each use. */
export interface CallAccess {
  /** Tenant of the call; undefined if it has none. */
  readonly tenant: TenantProfile | undefined;
  /** Whether the key and a tenant that the caller stated must not reach targets. */
  readonly hidesKey: boolean;
  /** Returns why the call must not be sent now; undefined if it may be sent. */
  findRefusal(): Refusal | undefined;
}

/** Options of a tenant gate. */
export interface TenantGateOptions {
  /** The deployment that this entry applies; undefined until one is known. */
  readonly deployment: () => Deployment | undefined;
  /** Confirmations of the deployment; absent if the time of revocation is not bounded. */
  readonly freshness?: Pick<KeyFreshness, 'isFresh'>;
  readonly clock: () => ClockReading;
  /** Called when a call is refused because the deployment is not confirmed. */
  readonly onUnconfirmed: () => void;
  readonly metrics: Pick<TenantMetrics, 'recordCall'>;
}

/** Key and route of a call. */
interface CallIdentity {
  /** Digest of the key; undefined if the call has none. */
  readonly digest: string | undefined;
  readonly route: Pick<Route, 'isPublic'>;
}

/**
 * Retry delay for callers while the deployment is not confirmed, in seconds; another entry may
 * serve the caller, and this one asks again within a fraction of a second.
 */
const UNCONFIRMED_RETRY_AFTER_SECONDS = 0.5;

/** Decides by their keys which calls may be sent, and to which tenants they belong. */
export class TenantGate {
  private directory: TenantDirectory | undefined;
  private directorySource: Deployment | undefined;

  constructor(private readonly options: TenantGateOptions) {}

  /** Returns the access of a call that arrived with `key`, which it does not keep. */
  admit(key: string | undefined, route: Pick<Route, 'isPublic'>): CallAccess {
    const digest = key === undefined ? undefined : digestKey(key);
    const identity = {digest, route};
    const hadTenants = this.currentDirectory() !== undefined;
    this.recordCall(identity);
    const findTenant = () => this.findTenant(digest);
    const hidesKey = () => hadTenants || this.currentDirectory() !== undefined;
    return {
      get tenant() {
        return findTenant();
      },
      get hidesKey() {
        return hidesKey();
      },
      findRefusal: () => this.findRefusal(identity),
    };
  }

  private findTenant(digest: string | undefined): TenantProfile | undefined {
    return digest === undefined
      ? undefined
      : this.currentDirectory()?.find(digest);
  }

  private findRefusal({digest, route}: CallIdentity): Refusal | undefined {
    if (this.currentDirectory() === undefined) {
      return undefined;
    }
    const tenant = this.findTenant(digest);
    if (tenant === undefined && route.isPublic === true) {
      return undefined;
    }
    if (!this.isConfirmed()) {
      this.options.onUnconfirmed();
      return createUnconfirmedRefusal();
    }
    const revision = this.options.deployment()?.revision ?? 0;
    return tenant === undefined
      ? createUnknownKeyRefusal(digest !== undefined, revision)
      : undefined;
  }

  private isConfirmed(): boolean {
    const {clock, deployment, freshness} = this.options;
    const revision = deployment()?.revision;
    return (
      freshness === undefined ||
      (revision !== undefined && freshness.isFresh(revision, clock()))
    );
  }

  private recordCall(identity: CallIdentity): void {
    if (this.currentDirectory() === undefined) {
      return;
    }
    const {metrics} = this.options;
    const status = this.findRefusal(identity)?.status;
    if (status !== undefined) {
      metrics.recordCall(
        status === STATUS_UNAUTHORIZED ? 'unknown_key' : 'unconfirmed',
      );
    } else if (this.findTenant(identity.digest) !== undefined) {
      metrics.recordCall('allowed');
    }
  }

  /** The tenants of the applied deployment; undefined if it has none. */
  private currentDirectory(): TenantDirectory | undefined {
    const deployment = this.options.deployment();
    if (deployment !== this.directorySource) {
      this.directorySource = deployment;
      this.directory =
        deployment?.tenants && new TenantDirectory(deployment.tenants);
    }
    return this.directory;
  }
}

const STATUS_UNAUTHORIZED = 401;

function createUnknownKeyRefusal(hasKey: boolean, revision: number): Refusal {
  const what = hasKey ? 'the key belongs to no tenant' : 'the call has no key';
  return new Refusal(
    'not-run',
    STATUS_UNAUTHORIZED,
    'unknown_key',
    `${what} (configuration ${revision})`,
  );
}

function createUnconfirmedRefusal(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'configuration_unconfirmed',
    'control has not confirmed lately that the keys of the entry are current',
    UNCONFIRMED_RETRY_AFTER_SECONDS,
  );
}
