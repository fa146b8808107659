import {expect} from 'chai';
import {DeploymentState} from '@marigoldspur/deployment-state';

it('deployment state: the highest revision is active', () => {
  const state = new DeploymentState();
  expect(state.replace({revision: 7, text: 'seven'})).to.equal('in-force');
  expect(state.replace({revision: 5, text: 'five'})).to.equal('overtaken');
  expect(state.deployment).to.deep.equal({revision: 7, text: 'seven'});
});

it('deployment state: other content under the active revision is ignored', () => {
  const state = new DeploymentState();
  state.replace({revision: 7, text: 'first'});
  expect(state.replace({revision: 7, text: 'second'})).to.equal('overtaken');
  expect(state.deployment?.text).to.equal('first');
});

it('deployment state: the newest named version of each adapter is kept', () => {
  const state = new DeploymentState();
  state.nameVersion({model: 'm', adapter: 'a1', version: 3});
  state.nameVersion({model: 'm', adapter: 'a1', version: 2});
  state.nameVersion({model: 'm', adapter: 'a2', version: 5});
  expect(state.namedVersions()).to.deep.equal([
    {model: 'm', adapter: 'a1', version: 3},
    {model: 'm', adapter: 'a2', version: 5},
  ]);
});

it('deployment state: a snapshot restores the whole state', () => {
  const state = new DeploymentState();
  state.replace({revision: 7, text: 'seven'});
  state.nameVersion({model: 'm', version: 2});
  const other = new DeploymentState();
  other.restore(JSON.parse(JSON.stringify(state.snapshot())));
  expect(other.snapshot()).to.deep.equal(state.snapshot());
});

it('deployment state: at most two software versions of a service are recorded', () => {
  const state = new DeploymentState();
  const [v1, v2, v3] = ['v1', 'v2', 'v3'].map(softwareVersion => ({
    service: 's',
    softwareVersion,
  }));
  [v1, v1, v2, v3].forEach(version => state.recordSoftwareVersion(version));
  expect(state.recordedSoftwareVersions()).to.deep.equal([v1, v2]);
  expect(state.isSoftwareVersionRecorded(v3)).to.equal(true);
  const restored = new DeploymentState();
  expect(restored.isSoftwareVersionRecorded(v1)).to.equal(false);
  restored.restore(state.snapshot());
  expect(restored.recordedSoftwareVersions()).to.deep.equal([v1, v2]);
});
