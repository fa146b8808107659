import {setTimeout as pause} from 'node:timers/promises';
import {Result} from 'true-myth';
import {
  createDeploymentHead,
  type DeploymentHead,
  type DeploymentRequest,
  type DeploymentText,
  type DeploymentTransfer,
} from '@marigoldspur/deployment';
import {Fault, toFault} from '@marigoldspur/faults';
import {readTransfer} from './read-transfer.js';

/** Options of a deployment fetcher. */
export interface DeploymentFetcherOptions {
  /** Sends a request to a replica; rejects if there is no answer within `timeoutMs`. */
  readonly send: (
    replica: string,
    request: DeploymentRequest,
    timeoutMs: number,
  ) => Promise<DeploymentTransfer>;
  /** Called with each deployment that is newer than all before. */
  readonly onDeployment: (deployment: DeploymentText, replica: string) => void;
  /** Called when a replica did not bring a newer deployment. */
  readonly onFailure: (replica: string, fault: Fault) => void;
}

/** Time for the first replica to answer, in milliseconds; doubled after each failure. */
const FIRST_TIMEOUT_MS = 750;
const MAX_TIMEOUT_MS = 6_000;
/** Delay before a replica that failed is asked again, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** Pause after a deployment, as a multiple of the time that it took to apply. */
const PAUSE_FACTOR = 4;
const MAX_PAUSE_MS = 500;

/**
 * Fetches each announced deployment from one replica of control at a time. Deployments that
 * were superseded before their turn are never transferred.
 */
export class DeploymentFetcher {
  /** Newest deployment of each followed replica, in the order of the announcements. */
  private readonly announced = new Map<string, DeploymentHead>();
  /** Failures of each replica since the last new deployment. */
  private readonly failures = new Map<string, number>();
  private known: DeploymentText | undefined;
  /** Whether the next request asks for the whole text. */
  private needsWholeText = false;
  private isFetching = false;
  private isStopped = false;

  constructor(private readonly options: DeploymentFetcherOptions) {}

  /** Records the active deployment of a replica, and fetches it if it is newer. */
  announce(replica: string, head: DeploymentHead): void {
    this.announced.delete(replica);
    this.announced.set(replica, head);
    void this.fetchNewer();
  }

  /** Records that a replica is not followed any more. */
  forget(replica: string): void {
    this.announced.delete(replica);
  }

  stop(): void {
    this.isStopped = true;
  }

  private async fetchNewer(): Promise<void> {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    for (
      let source = this.nextSource();
      source !== undefined && !this.isStopped;
      source = this.nextSource()
    ) {
      await this.fetchFrom(source);
    }
    this.isFetching = false;
  }

  /** Returns the replica with a newer deployment that has failed least often. */
  private nextSource(): string | undefined {
    const revision = this.known?.revision ?? -1;
    const [source] = [...this.announced]
      .filter(([, head]) => head.revision > revision)
      .map(([replica]) => replica)
      .sort((a, b) => this.failuresOf(a) - this.failuresOf(b));
    return source;
  }

  private failuresOf(replica: string): number {
    return this.failures.get(replica) ?? 0;
  }

  private async fetchFrom(replica: string): Promise<void> {
    if (this.failuresOf(replica) > 0) {
      await pause(RETRY_DELAY_MS);
    }
    const fetched = await this.request(replica);
    if (this.isStopped) {
      return;
    }
    if (fetched.isErr) {
      this.needsWholeText = fetched.error.code === 'CORRUPT_DATA';
      this.failures.set(replica, this.failuresOf(replica) + 1);
      this.options.onFailure(replica, fetched.error);
      return;
    }
    this.needsWholeText = false;
    this.failures.clear();
    this.known = fetched.value;
    const startedAt = performance.now();
    this.options.onDeployment(fetched.value, replica);
    const applyMs = performance.now() - startedAt;
    // Deployments in quick succession would leave the process no time for calls.
    await pause(Math.min(MAX_PAUSE_MS, applyMs * PAUSE_FACTOR));
  }

  private async request(
    replica: string,
  ): Promise<Result<DeploymentText, Fault>> {
    const known = this.needsWholeText ? undefined : this.known;
    const request = known && {known: createDeploymentHead(known)};
    try {
      const transfer = await this.options.send(
        replica,
        request ?? {},
        this.timeoutMs(),
      );
      return readTransfer(transfer, known).andThen(deployment =>
        deployment !== undefined &&
        deployment.revision > (this.known?.revision ?? -1)
          ? Result.ok<DeploymentText, Fault>(deployment)
          : Result.err(notNewer(replica)),
      );
    } catch (thrown) {
      return Result.err(toFault(thrown));
    }
  }

  private timeoutMs(): number {
    const failures = [...this.failures.values()].reduce((a, b) => a + b, 0);
    return Math.min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS * 2 ** failures);
  }
}

function notNewer(replica: string): Fault {
  return new Fault(
    'UNAVAILABLE',
    `replica "${replica}" does not have the deployment that it announced`,
  );
}
