import {gzipSync} from 'node:zlib';
import {createDelta} from 'fossil-delta';
import {
  createDeploymentHead,
  type DeploymentHead,
  type DeploymentRequest,
  type DeploymentText,
  type DeploymentTransfer,
} from '@marigoldspur/deployment';

interface ArchivedDeployment {
  readonly head: DeploymentHead;
  readonly text: Buffer;
}

/** Number of earlier deployments to which differences are computed. */
const MAX_EARLIER = 16;
const MAX_EARLIER_BYTES = 16_777_216;

/** Answers the requests of entries for the active deployment of a replica of control. */
export class DeploymentArchive {
  private readonly current: () => DeploymentText | undefined;
  private source: DeploymentText | undefined;
  private active: ArchivedDeployment | undefined;
  /** Earlier deployments, newest first. */
  private earlier: readonly ArchivedDeployment[] = [];
  /** Answers about the active deployment, by the digest of the base, or `''` for the whole text. */
  private readonly transfers = new Map<string, DeploymentTransfer>();

  /** `current` returns the active deployment. */
  constructor(current: () => DeploymentText | undefined) {
    this.current = current;
  }

  /** Returns the head of the active deployment. */
  head(): DeploymentHead | undefined {
    this.update();
    return this.active?.head;
  }

  /** Creates the answer to a request. */
  answer({known}: DeploymentRequest): DeploymentTransfer {
    this.update();
    const {active} = this;
    if (active === undefined) {
      return {};
    }
    const base = this.earlier.find(
      ({head}) =>
        head.revision === known?.revision && head.digest === known.digest,
    );
    const key = base?.head.digest ?? '';
    const transfer = this.transfers.get(key) ?? createTransfer(active, base);
    this.transfers.set(key, transfer);
    return transfer;
  }

  private update(): void {
    const deployment = this.current();
    if (deployment === undefined || deployment === this.source) {
      return;
    }
    if (this.active !== undefined) {
      this.earlier = limitEarlier([this.active, ...this.earlier]);
    }
    this.source = deployment;
    this.active = {
      head: createDeploymentHead(deployment),
      text: Buffer.from(deployment.text),
    };
    this.transfers.clear();
  }
}

function createTransfer(
  {head, text}: ArchivedDeployment,
  base: ArchivedDeployment | undefined,
): DeploymentTransfer {
  const content =
    base === undefined
      ? text
      : Uint8Array.from(createDelta<Uint8Array>(base.text, text));
  return {
    deployment: head,
    isDelta: base !== undefined,
    content: gzipSync(content).toString('base64'),
  };
}

function limitEarlier(
  deployments: readonly ArchivedDeployment[],
): readonly ArchivedDeployment[] {
  let bytes = 0;
  return deployments.slice(0, MAX_EARLIER).filter(({text}) => {
    bytes += text.length;
    return bytes <= MAX_EARLIER_BYTES;
  });
}
