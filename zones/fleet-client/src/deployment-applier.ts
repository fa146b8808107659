import type {DeploymentText} from '@marigoldspur/deployment';

/** Options of a deployment applier. */
export interface DeploymentApplierOptions {
  /** Applies a deployment; an exception means that it may be in force in part or not at all. */
  readonly apply: (deployment: DeploymentText) => void;
  /** Called with the error of each attempt, and the time until the next one, in milliseconds. */
  readonly onFailure: (
    deployment: DeploymentText,
    thrown: unknown,
    retryMs: number,
  ) => void;
}

/** Delay before a deployment is applied again, in milliseconds; doubled after each failure. */
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 5_000;

/** Applies the newest deployment, again and again after errors until a newer one comes. */
export class DeploymentApplier {
  private retry: NodeJS.Timeout | undefined;

  constructor(private readonly options: DeploymentApplierOptions) {}

  /** Applies a deployment in place of all before it. */
  apply(deployment: DeploymentText): void {
    this.stop();
    this.attempt(deployment, FIRST_RETRY_MS);
  }

  stop(): void {
    clearTimeout(this.retry);
  }

  private attempt(deployment: DeploymentText, retryMs: number): void {
    try {
      this.options.apply(deployment);
    } catch (thrown) {
      this.options.onFailure(deployment, thrown, retryMs);
      this.retry = setTimeout(
        () => this.attempt(deployment, Math.min(MAX_RETRY_MS, 2 * retryMs)),
        retryMs,
      );
    }
  }
}
