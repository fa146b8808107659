import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

// Guards against a process that goes on with damaged state, or ends without a line in its log.
it('process runtime: an error outside of requests ends the process and is logged', async function () {
  this.timeout(20_000);
  const main = fileURLToPath(new URL('./failing-process.js', import.meta.url));
  const child = spawn(process.execPath, [main], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  let output = '';
  child.stdout.on('data', piece => (output += piece));
  const [code] = await once(child, 'close');
  expect(code).to.equal(1);
  expect(output).to.match(/process-crashed.*damaged state/);
});
