import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {readProgramOptions, startChild} from '@marigoldspur/lab';

const PROGRAM = '@marigoldspur/agent-server';
const BYTES_PER_MEGABYTE = 1_048_576;
/** Half of the memory of a small host with 1 GB. The default heap limit of Node.js is at least 2 GB. */
const HIGHEST_LIMIT_MB = 512;
const HEAP_LIMIT = 'v8.getHeapStatistics().heap_size_limit';
/** Fills the heap up to 512 MB; exits normally if no limit applies. */
const FILL_HEAP =
  'const all = []; while (process.memoryUsage.rss() < 2 ** 29) all.push(Array(1000).fill(0));';

function readShippedOptions(program: string): string[] {
  const index = fileURLToPath(import.meta.resolve(program));
  return readProgramOptions(index.replace(/index\.js$/, 'main.js'));
}

function runNode(args: readonly string[]) {
  return spawnSync(process.execPath, [...args], {encoding: 'utf8'});
}

it('memory: an agent is shipped with a heap limit', () => {
  const {stdout} = runNode([...readShippedOptions(PROGRAM), '-p', HEAP_LIMIT]);
  const limitMb = Number(stdout) / BYTES_PER_MEGABYTE;
  expect(limitMb).to.be.above(0).and.below(HIGHEST_LIMIT_MB);
});

it('memory: an agent that reaches its heap limit aborts with an out-of-memory message', () => {
  const options = readShippedOptions(PROGRAM);
  const {signal, stderr} = runNode([...options, '-e', FILL_HEAP]);
  expect(signal).to.equal('SIGABRT');
  expect(stderr).to.include('heap out of memory');
});

it('memory: the lab starts an agent with its shipped options', async () => {
  const child = startChild('program', PROGRAM, ['--version']);
  expect(await child.ended).to.equal(0);
  expect(readShippedOptions(PROGRAM)).not.to.deep.equal([]);
  expect(child.process.spawnargs).to.include.members(
    readShippedOptions(PROGRAM),
  );
});
