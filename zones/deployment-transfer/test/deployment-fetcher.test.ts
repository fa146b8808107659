import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {
  createDeploymentHead,
  type DeploymentRequest,
  type DeploymentText,
  type DeploymentTransfer,
} from '@marigoldspur/deployment';
import {
  DeploymentArchive,
  DeploymentFetcher,
} from '@marigoldspur/deployment-transfer';

type Answer = (request: DeploymentRequest) => Promise<DeploymentTransfer>;

/** A fetcher with replicas that tests script, and what it did. */
class Trial {
  readonly sent: string[] = [];
  readonly timeouts: number[] = [];
  readonly received: number[] = [];
  readonly failed: string[] = [];
  readonly replicas = new Map<string, Answer>();
  /** Time that applying a deployment takes, in milliseconds. */
  applyMs = 0;
  private waiting: (() => void) | undefined;
  readonly fetcher = new DeploymentFetcher({
    send: (replica, request, timeoutMs) => {
      this.sent.push(replica);
      this.timeouts.push(timeoutMs);
      return this.replicas.get(replica)!(request);
    },
    onDeployment: ({revision}) => {
      const startedAt = performance.now();
      while (performance.now() - startedAt < this.applyMs);
      this.received.push(revision);
      this.waiting?.();
    },
    onFailure: replica => this.failed.push(replica),
  });

  /** Resolves once a revision was received. */
  async until(revision: number): Promise<void> {
    while (!this.received.includes(revision)) {
      await new Promise<void>(resolve => (this.waiting = resolve));
    }
  }
}

const deployment = (revision: number): DeploymentText => ({
  revision,
  text: `{"version":${revision}}`,
});
const head = (revision: number) => createDeploymentHead(deployment(revision));

function holder(current: () => DeploymentText): Answer {
  const archive = new DeploymentArchive(current);
  return async request => archive.answer(request);
}

it('deployment fetcher: of five replicas that announce a deployment one is asked', async () => {
  const trial = new Trial();
  const replicas = ['a', 'b', 'c', 'd', 'e'];
  replicas.forEach(replica =>
    trial.replicas.set(
      replica,
      holder(() => deployment(1)),
    ),
  );
  replicas.forEach(replica => trial.fetcher.announce(replica, head(1)));
  await trial.until(1);
  replicas.forEach(replica => trial.fetcher.announce(replica, head(1)));
  expect(trial.sent).to.deep.equal(['a']);
});

it('deployment fetcher: deployments that are superseded during a transfer are not transferred', async () => {
  const trial = new Trial();
  let current = deployment(1);
  const answer = holder(() => current);
  trial.replicas.set('a', request => answer(request));
  trial.fetcher.announce('a', head(1));
  for (const revision of [2, 3, 4, 5]) {
    trial.fetcher.announce('a', head(revision));
  }
  current = deployment(5);
  await trial.until(5);
  expect(trial.received).to.deep.equal([1, 5]);
});

it('deployment fetcher: the next replica is asked when one fails, with more time', async () => {
  const trial = new Trial();
  trial.replicas.set('a', () => Promise.reject(new Error('cut off')));
  trial.replicas.set(
    'b',
    holder(() => deployment(1)),
  );
  trial.fetcher.announce('a', head(1));
  trial.fetcher.announce('b', head(1));
  await trial.until(1);
  expect(trial.sent).to.deep.equal(['a', 'b']);
  expect(trial.timeouts[1]).to.be.above(trial.timeouts[0]);
  expect(trial.failed).to.deep.equal(['a']);
});

it('deployment fetcher: a replica without the deployment that it announced is passed over', async () => {
  const trial = new Trial();
  trial.replicas.set(
    'a',
    holder(() => deployment(1)),
  );
  trial.replicas.set(
    'b',
    holder(() => deployment(2)),
  );
  trial.fetcher.announce('a', head(1));
  await trial.until(1);
  trial.fetcher.announce('a', head(2));
  trial.fetcher.announce('b', head(2));
  await trial.until(2);
  expect(trial.received).to.deep.equal([1, 2]);
});

it('deployment fetcher: a difference that does not fit is followed by the whole text', async () => {
  const trial = new Trial();
  let current = deployment(1);
  const answer = holder(() => current);
  trial.replicas.set('a', async request => {
    const transfer = await answer(request);
    return transfer.isDelta === true
      ? {...transfer, content: transfer.content!.slice(4)}
      : transfer;
  });
  trial.fetcher.announce('a', head(1));
  await trial.until(1);
  current = deployment(2);
  trial.fetcher.announce('a', head(2));
  await trial.until(2);
  expect(trial.failed).to.deep.equal(['a']);
});

it('deployment fetcher: a replica that is not followed any more is not asked', async () => {
  const trial = new Trial();
  trial.replicas.set('a', () => Promise.reject(new Error('cut off')));
  trial.replicas.set(
    'b',
    holder(() => deployment(1)),
  );
  trial.fetcher.announce('a', head(1));
  trial.fetcher.forget('a');
  trial.fetcher.announce('b', head(1));
  await trial.until(1);
  expect(trial.sent).to.deep.equal(['a', 'b']);
});

it('deployment fetcher: applying deployments in quick succession leaves the process time for its work', async () => {
  const trial = new Trial();
  trial.applyMs = 40;
  let revision = 0;
  trial.replicas.set(
    'a',
    holder(() => deployment(revision)),
  );
  const startedAt = performance.now();
  while (performance.now() - startedAt < 1_500) {
    revision += 1;
    trial.fetcher.announce('a', head(revision));
    await pause(5);
  }
  const share =
    (trial.received.length * trial.applyMs) / (performance.now() - startedAt);
  trial.fetcher.stop();
  expect(share).to.be.below(0.3);
  expect(trial.received.length).to.be.above(3);
});
