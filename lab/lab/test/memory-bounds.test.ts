import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {programOptions, startChild} from '@marigoldspur/lab';

const PROGRAM = '@marigoldspur/agent-server';
const BYTES_PER_MEGABYTE = 1_048_576;
/** Half of a small host's gigabyte; without options the limit is 2 GB and more. */
const HIGHEST_LIMIT_MB = 512;
const HEAP_LIMIT = 'v8.getHeapStatistics().heap_size_limit';
/** Ends by itself where no bound holds. */
const FILL_HEAP =
  'const all = []; while (process.memoryUsage.rss() < 2 ** 29) all.push(Array(1000).fill(0));';

function shippedOptions(program: string): string[] {
  const index = fileURLToPath(import.meta.resolve(program));
  return programOptions(index.replace(/index\.js$/, 'main.js'));
}

function runNode(args: readonly string[]) {
  return spawnSync(process.execPath, [...args], {encoding: 'utf8'});
}

it('memory: an agent ships with a bound on its heap', () => {
  const {stdout} = runNode([...shippedOptions(PROGRAM), '-p', HEAP_LIMIT]);
  const limitMb = Number(stdout) / BYTES_PER_MEGABYTE;
  expect(limitMb).to.be.above(0).and.below(HIGHEST_LIMIT_MB);
});

it('memory: an agent at its bound ends and says why', () => {
  const options = shippedOptions(PROGRAM);
  const {signal, stderr} = runNode([...options, '-e', FILL_HEAP]);
  expect(signal).to.equal('SIGABRT');
  expect(stderr).to.include('heap out of memory');
});

it('memory: the lab starts an agent as it ships', async () => {
  const child = startChild('program', PROGRAM, ['--version']);
  expect(await child.ended).to.equal(0);
  expect(shippedOptions(PROGRAM)).not.to.deep.equal([]);
  expect(child.process.spawnargs).to.include.members(shippedOptions(PROGRAM));
});
