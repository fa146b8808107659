import type {ClockReading} from '@marigoldspur/clock-readings';
import type {DeploymentConfirmation} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import type {KeyFreshness} from '@marigoldspur/tenant-access';

/** Options of a deployment confirmer. */
export interface DeploymentConfirmerOptions {
  /** Time after which no removed key may be used, in milliseconds. */
  readonly revokeMs: number;
  /** Revision of the applied deployment; undefined if no confirmation is needed. */
  readonly appliedRevision: () => number | undefined;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  /** Asks a replica; rejects if it does not confirm a revision. */
  readonly ask: (
    replica: string,
    signal: AbortSignal,
  ) => Promise<DeploymentConfirmation>;
  readonly freshness: Pick<KeyFreshness, 'ageMs' | 'recordConfirmation'>;
  readonly clock: () => ClockReading;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
}

/** Queries in the time in which a removed key must be refused. */
const QUERIES_PER_REVOCATION = 8;
/** Share of that time after which all replicas are asked, and after which a query is given up. */
const LATE_SHARE = 0.5;

/** Asks replicas of control at regular intervals to confirm the applied deployment. */
export class DeploymentConfirmer {
  /** Replicas whose answer is awaited. */
  private readonly pending = new Set<string>();
  /** Replicas that did not confirm when they were asked last. */
  private readonly failed = new Set<string>();
  private readonly timer: NodeJS.Timeout;
  private current: string | undefined;
  private mayAskEarly = true;
  private state: 'initial' | 'awaited' | 'confirmed' | 'unconfirmed' =
    'initial';

  constructor(private readonly options: DeploymentConfirmerOptions) {
    this.timer = setInterval(
      () => this.tick(),
      options.revokeMs / QUERIES_PER_REVOCATION,
    );
  }

  /** Asks before the next interval; at most once in each, so that calls cause no further queries. */
  askEarly(): void {
    const isNeeded = this.options.appliedRevision() !== undefined;
    if (isNeeded && this.mayAskEarly) {
      this.mayAskEarly = false;
      this.ask();
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    this.mayAskEarly = true;
    if (this.options.appliedRevision() !== undefined) {
      this.recordState();
      this.ask();
    }
  }

  /** Asks one replica, or all if the last confirmation is old; each has at most one open query. */
  private ask(): void {
    const replicas = this.options.replicas();
    const isLate = this.ageMs() > this.options.revokeMs * LATE_SHARE;
    const asked = isLate ? replicas : this.chooseReplica(replicas);
    asked
      .filter(replica => !this.pending.has(replica))
      .forEach(replica => void this.askReplica(replica));
  }

  /** The replica that was asked last, or another one if that one has not confirmed. */
  private chooseReplica(replicas: readonly string[]): readonly string[] {
    const known = replicas.indexOf(this.current ?? '');
    const start =
      known >= 0 ? known : Math.floor(this.options.random() * replicas.length);
    const ordered = [...replicas.slice(start), ...replicas.slice(0, start)];
    const [first, second = first] = ordered;
    this.current =
      ordered.find(
        replica => !this.failed.has(replica) && !this.pending.has(replica),
      ) ?? second;
    return this.current === undefined ? [] : [this.current];
  }

  private async askReplica(replica: string): Promise<void> {
    const {ask, clock, freshness, revokeMs} = this.options;
    this.pending.add(replica);
    const requestedAt = clock();
    try {
      const signal = AbortSignal.timeout(revokeMs * LATE_SHARE);
      const {revision} = await ask(replica, signal);
      if (revision === null) {
        throw new Error('the replica has no deployment');
      }
      this.failed.delete(replica);
      freshness.recordConfirmation(revision, requestedAt);
      this.recordState();
    } catch (thrown) {
      this.recordFailure(replica, toFault(thrown).message);
    } finally {
      this.pending.delete(replica);
    }
  }

  /** Records the first of several failures of a replica. */
  private recordFailure(replica: string, reason: string): void {
    if (!this.failed.has(replica)) {
      this.failed.add(replica);
      this.options.events.record('deployment-confirmation-failed', {
        replica,
        reason,
      });
    }
  }

  /** Records when the applied deployment becomes confirmed, and when it no longer is. */
  private recordState(): void {
    const revision = this.options.appliedRevision();
    const state = this.ageMs() < Infinity ? 'confirmed' : 'unconfirmed';
    if (state === 'unconfirmed' && this.state === 'initial') {
      // The first answer may still be on its way.
      this.state = 'awaited';
      return;
    }
    if (revision !== undefined && state !== this.state) {
      this.state = state;
      this.options.events.record(`deployment-${state}`, {revision});
    }
  }

  private ageMs(): number {
    const {appliedRevision, clock, freshness} = this.options;
    return freshness.ageMs(appliedRevision() ?? 0, clock());
  }
}
