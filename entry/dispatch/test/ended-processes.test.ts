import {fork} from 'node:child_process';
import {once} from 'node:events';
import net from 'node:net';
import path from 'node:path';
import {expect} from 'chai';
import {detectReset} from '@marigoldspur/http-link';

const BODY_BYTES = 4_190_000;
const ENTRY = path.join(import.meta.dirname, 'exiting-entry.js');

for (const end of ['exit', 'error']) {
  // Guards against half a body that the end of the entry's process makes look whole.
  it(`ended processes: an unframed response that is being written is reset by an ${end}`, async () => {
    const entry = fork(ENTRY, {stdio: ['ignore', 'ignore', 'ignore', 'ipc']});
    const [port] = (await once(entry, 'message')) as [number];
    const caller = net.connect(port, '127.0.0.1');
    caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
    await once(caller, 'readable');
    entry.send(end);
    await once(entry, 'exit');
    const isReset = new Promise<boolean>(resolve => {
      detectReset(caller, () => resolve(true));
      caller.on('error', () => resolve(true));
      caller.on('end', () => setImmediate(resolve, false));
    });
    let bytes = 0;
    caller.on('data', piece => (bytes += piece.length));
    expect(await isReset).to.equal(true);
    expect(bytes).to.be.below(BODY_BYTES);
  });
}
