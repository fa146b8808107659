import {expect} from 'chai';
import type {
  DeploymentText,
  DeploymentTransfer,
} from '@marigoldspur/deployment';
import {createDeploymentHead} from '@marigoldspur/deployment';
import {
  DeploymentArchive,
  readTransfer,
} from '@marigoldspur/deployment-transfer';

function deployment(revision: number, routeCount: number): DeploymentText {
  const routes = Array.from({length: routeCount}, (_, index) => ({
    name: `route-${index}`,
    pathPrefix: `/ä-${(index * 2_654_435_761) % 4_294_967_296}/`,
  }));
  return {revision, text: JSON.stringify({version: revision, routes})};
}

function unwrap(transfer: DeploymentTransfer, known?: DeploymentText) {
  return readTransfer(transfer, known).unwrapOr(undefined);
}

it('deployment transfer: without a deployment there is nothing to transfer', () => {
  const archive = new DeploymentArchive(() => undefined);
  expect(archive.head()).to.equal(undefined);
  expect(unwrap(archive.answer({}))).to.equal(undefined);
});

it('deployment transfer: a deployment arrives whole at an entry that knows none', () => {
  const only = deployment(1, 50);
  const archive = new DeploymentArchive(() => only);
  expect(unwrap(archive.answer({}))).to.deep.equal(only);
});

it('deployment transfer: a change of one route of 36,000 takes less than 400 bytes', () => {
  const before = deployment(1, 36_000);
  const after = deployment(2, 36_001);
  let current = before;
  const archive = new DeploymentArchive(() => current);
  const known = archive.head();
  current = after;
  const transfer = archive.answer({known});
  expect(transfer.isDelta).to.equal(true);
  expect(transfer.content?.length).to.be.below(400);
  expect(unwrap(transfer, before)).to.deep.equal(after);
});

it('deployment transfer: an entry that is behind by several deployments gets the difference to the last one', () => {
  const all = [1, 2, 3, 4].map(revision => deployment(revision, revision * 9));
  let current = all[0];
  const archive = new DeploymentArchive(() => current);
  for (const next of all) {
    current = next;
    archive.head();
  }
  const transfer = archive.answer({known: createDeploymentHead(all[0])});
  expect(transfer.isDelta).to.equal(true);
  expect(unwrap(transfer, all[0])).to.deep.equal(all[3]);
});

it('deployment transfer: an entry with another text under a known revision gets the whole text', () => {
  let current = deployment(1, 10);
  const archive = new DeploymentArchive(() => current);
  archive.head();
  current = deployment(2, 11);
  const other = deployment(1, 12);
  const transfer = archive.answer({known: createDeploymentHead(other)});
  expect(unwrap(transfer, other)).to.deep.equal(current);
});

it('deployment transfer: an entry that is too far behind gets the whole text', () => {
  const first = deployment(0, 1);
  let current = first;
  const archive = new DeploymentArchive(() => current);
  archive.head();
  for (let revision = 1; revision < 40; revision += 1) {
    current = deployment(revision, revision);
    archive.head();
  }
  const transfer = archive.answer({known: createDeploymentHead(first)});
  expect(transfer.isDelta).to.equal(false);
  expect(unwrap(transfer, first)).to.deep.equal(current);
});

it('deployment transfer: content that does not lead to the stated text is rejected', () => {
  const before = deployment(1, 20);
  let current = before;
  const archive = new DeploymentArchive(() => current);
  const known = archive.head();
  current = deployment(2, 21);
  const delta = archive.answer({known});
  const whole = archive.answer({});
  const cases = [
    readTransfer(delta, deployment(1, 19)),
    readTransfer(delta, undefined),
    readTransfer({...delta, isDelta: false}, before),
    readTransfer({...whole, isDelta: true}, before),
    readTransfer({...whole, content: whole.content!.slice(0, 40)}, before),
    readTransfer({...whole, content: ''}, before),
  ];
  expect(cases.map(result => result.isErr && result.error.code)).to.deep.equal(
    cases.map(() => 'CORRUPT_DATA'),
  );
});
