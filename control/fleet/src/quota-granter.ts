import type {ClockReading} from '@marigoldspur/clock-readings';
import type {Result} from 'true-myth';
import type {
  Deployment,
  QuotaAnswer,
  QuotaRequest,
  Tenant,
} from '@marigoldspur/deployment';
import type {DeploymentState} from '@marigoldspur/deployment-state';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, formatFindings, type Finding} from '@marigoldspur/faults';
import type {LogStatus, ReplicatedLog} from '@marigoldspur/replicated-log';
import {
  QuotaLedger,
  type QuotaTolerance,
  type ReplicaGroup,
} from '@marigoldspur/tenant-quotas';
import {FreshQuorum} from './fresh-quorum.js';
import type {QuotaGrantMetrics} from './quota-grant-metrics.js';

/** What a replica of control needs to grant quotas. */
export interface QuotaSupport {
  /** Parses a deployment as its operator sent it. */
  readonly readDeployment: (
    text: string,
  ) => Result<Deployment, readonly Finding[]>;
  /** By how much all entries together may exceed a quota. */
  readonly tolerance: QuotaTolerance;
}

/** Options of a quota granter. */
export interface QuotaGranterOptions extends QuotaSupport {
  readonly deployments: Pick<DeploymentState, 'deployment'>;
  readonly log: Pick<ReplicatedLog<unknown, unknown>, 'readBarrier' | 'status'>;
  readonly clock: () => ClockReading;
  readonly events: EventLog;
  readonly metrics: QuotaGrantMetrics;
}

/** Interval at which the list of replicas is read, in milliseconds, also while no entry asks. */
const GROUP_CHECK_INTERVAL_MS = 250;

/** Grants entries units of tenants' quotas, at one replica of control. */
export class QuotaGranter {
  private readonly quorum: FreshQuorum;
  private readonly ledger: QuotaLedger;
  private readonly groupTimer: NodeJS.Timeout;
  /** Names of the tenants that the ledger knows. */
  private tenants: readonly string[] = [];
  /** Revision whose tenants the ledger knows, also if that could not be parsed. */
  private readRevision: number | undefined;
  private activeRevision: number | undefined;
  /** When the active deployment became active here, as a `performance.now()` time. */
  private deploymentSince: number;
  /** What the last event on the share said. */
  private recordedShare = '';
  /** Whether the last request was refused for lack of a quorum. */
  private isStopped = false;

  constructor(private readonly options: QuotaGranterOptions) {
    const {clock, log, tolerance} = options;
    this.quorum = new FreshQuorum({log, clock});
    this.ledger = new QuotaLedger({tolerance, group: groupOf(log.status())});
    this.activeRevision = options.deployments.deployment?.revision;
    this.deploymentSince = clock().monotonicMs;
    this.groupTimer = setInterval(
      () => this.updateGroup(),
      GROUP_CHECK_INTERVAL_MS,
    );
  }

  /** Notes when another deployment became active; it is parsed when an entry asks. */
  handleDeploymentChange(): void {
    const revision = this.options.deployments.deployment?.revision;
    if (revision !== this.activeRevision) {
      this.activeRevision = revision;
      this.deploymentSince = this.now();
    }
  }

  /** Decides grants; rejects with `NO_QUORUM` if no quorum confirms this replica's state. */
  async grant(request: QuotaRequest): Promise<QuotaAnswer> {
    const isConfirmed = await this.quorum.confirm();
    this.recordQuorum(isConfirmed);
    if (!isConfirmed) {
      throw new Fault('NO_QUORUM', 'no quorum confirms the quotas');
    }
    this.updateGroup();
    this.updateTenants();
    const answer = this.ledger.decide(request, this.now());
    request.grants.forEach((requested, index) => {
      if (this.ledger.hasTenant(requested.tenant)) {
        this.options.metrics.recordDecision(requested, answer.grants[index]);
      }
    });
    return answer;
  }

  stop(): void {
    clearInterval(this.groupTimer);
  }

  private now(): number {
    return this.options.clock().monotonicMs;
  }

  private updateGroup(): void {
    const share = this.ledger.currentShare;
    this.ledger.setGroup(groupOf(this.options.log.status()), this.now());
    if (this.ledger.currentShare !== share) {
      this.recordShare();
    }
  }

  /** Reads the tenants of the active deployment, once for each deployment. */
  private updateTenants(): void {
    const {deployments, events, readDeployment} = this.options;
    const {deployment} = deployments;
    if (deployment === undefined || deployment.revision === this.readRevision) {
      return;
    }
    const {revision, text} = deployment;
    this.readRevision = revision;
    const read = readDeployment(text);
    if (read.isErr) {
      const reason = formatFindings(read.error);
      events.record('quota-figures-unreadable', {revision, reason});
      return;
    }
    this.setTenants(read.value.tenants ?? []);
    this.recordShare();
  }

  private setTenants(tenants: readonly Tenant[]): void {
    const names = new Set(tenants.map(({name}) => name));
    this.tenants
      .filter(name => !names.has(name))
      .forEach(name => this.options.metrics.dropTenant(name));
    this.tenants = [...names];
    this.ledger.setTenants(tenants, this.deploymentSince, this.now());
  }

  private recordShare(): void {
    const share = this.ledger.currentShare;
    const tenants = this.tenants.length;
    // Most deployments change neither.
    const recorded = `${share} ${tenants}`;
    if (recorded !== this.recordedShare) {
      this.recordedShare = recorded;
      const revision = this.readRevision ?? 'none';
      const details = {share, tenants, revision};
      this.options.events.record('quota-share-changed', details);
    }
  }

  private recordQuorum(isConfirmed: boolean): void {
    if (isConfirmed === this.isStopped) {
      this.isStopped = !isConfirmed;
      const event = isConfirmed
        ? 'quota-grants-resumed'
        : 'quota-grants-stopped';
      this.options.events.record(event, {});
    }
  }
}

/** The replicas of the log, as this one knows them. */
function groupOf({replica, replicas}: LogStatus): ReplicaGroup {
  return {
    ownUrl: replicas.find(({id}) => id === replica)?.url,
    urls: replicas.map(({url}) => url),
  };
}
