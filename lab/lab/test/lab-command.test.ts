import {expect} from 'chai';
import {startChild, type Child} from '@marigoldspur/lab';

const LAB = '@marigoldspur/lab';

function startLab(...args: string[]): Child {
  return startChild('lab', LAB, args);
}

it('lab: a command reports all invalid options at once and exits with 2', async () => {
  const lab = startLab('engine', '--slots', '0', '--token-ms', 'soon');
  expect(await lab.ended).to.equal(2);
  const text = lab.lines.join('\n');
  expect(text).to.contain('--slots (MARIGOLDSPUR_SLOTS)');
  expect(text).to.contain('--token-ms (MARIGOLDSPUR_TOKEN_MS)');
  expect(text).to.contain('--store-url (MARIGOLDSPUR_STORE_URL)');
});

it('lab: an unknown command is reported with exit code 2', async () => {
  const lab = startLab('engines');
  expect(await lab.ended).to.equal(2);
  expect(lab.lines.join('\n')).to.contain('command line: ');
});

it('lab: --check starts nothing', async () => {
  const lab = startLab('service', '--check');
  expect(await lab.ended).to.equal(0);
  expect(lab.lines).to.deep.equal(['settings are valid']);
});

it('lab: a stand-in exits with 0 on SIGTERM', async () => {
  const lab = startLab('store', '--loads-per-second', '2.5');
  await lab.waitForLine(line => line.startsWith('ready http://127.0.0.1:'));
  lab.signal('SIGTERM');
  expect(await lab.ended).to.equal(0);
});

it('lab: a missing workload file is reported without a stack trace', async () => {
  const lab = startLab('experiment', 'no-such-file.yaml', '--seeds', '1,2');
  expect(await lab.ended).to.equal(1);
  expect(lab.lines).to.have.lengthOf(1);
  expect(lab.lines[0]).to.contain('no-such-file.yaml');
});
