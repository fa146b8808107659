import {expect} from 'chai';
import {ControlClient} from '@marigoldspur/control-client';
import {Fault} from '@marigoldspur/faults';

const URLS = ['http://127.0.0.1:1', 'http://127.0.0.1:2'];

/** Rejects like a call whose signal times out. */
async function timeOut(timeoutMs: number): Promise<never> {
  await new Promise(resolve => setTimeout(resolve, timeoutMs));
  throw new DOMException('the operation timed out', 'TimeoutError');
}

it('control client: an attempt that the deadline of the call cuts off does not hide an earlier fault', async () => {
  const client = new ControlClient({urls: URLS});
  const tried = new Set<string>();
  const result = await client.tryReplicas(async (url, timeoutMs) => {
    if (tried.has(url)) {
      return timeOut(timeoutMs);
    }
    tried.add(url);
    throw new Fault('UNAVAILABLE', `connect ECONNREFUSED ${url}`);
  }, performance.now() + 300);
  client.close();
  const message = result.isErr ? result.error.message : '';
  URLS.forEach(url =>
    expect(message).to.contain(`${url} connect ECONNREFUSED`),
  );
});

it('control client: an attempt that takes its whole timeout is reported', async () => {
  const client = new ControlClient({urls: [URLS[0]], timeoutMs: 20});
  const result = await client.tryReplicas(
    (_, timeoutMs) => timeOut(timeoutMs),
    performance.now() + 300,
  );
  client.close();
  const message = result.isErr ? result.error.message : '';
  expect(message).to.contain('did not answer in time');
});

it('control client: a command that a leader with a full disk refuses is sent to the next leader', async () => {
  const client = new ControlClient({urls: URLS});
  const result = await client.tryReplicas(async url => {
    if (url === URLS[0]) {
      throw new Fault('DISK_FULL', 'the disk of the leader is full');
    }
    return 'done';
  }, performance.now() + 1_000);
  client.close();
  expect(result.isOk && result.value).to.equal('done');
});
