import {spawn} from 'node:child_process';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createRedirectVariables} from '@marigoldspur/partition-proxy';

/** Nothing listens on this port. */
const REQUESTED_PORT = 9;
const CALL_COUNT = 3;
const PROGRAM = `
  const http = require('node:http');
  const agent = new http.Agent({keepAlive: true});
  const call = remainingCalls =>
    http.get({port: ${REQUESTED_PORT}, host: '127.0.0.1', agent}, response => {
      response.resume();
      response.on('close', () =>
        setImmediate(() =>
          remainingCalls > 1 ? call(remainingCalls - 1) : agent.destroy(),
        ),
      );
    });
  call(${CALL_COUNT});
`;

it('redirect: connections go to the replacement port and are reused', async () => {
  let connections = 0;
  let calls = 0;
  const server = http.createServer((_, response) => {
    calls += 1;
    response.end('whole');
  });
  server.on('connection', () => (connections += 1));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const child = spawn(process.execPath, ['-e', PROGRAM], {
    env: {...process.env, ...createRedirectVariables({[REQUESTED_PORT]: port})},
    stdio: 'inherit',
  });
  const code = await new Promise(resolve => child.on('exit', resolve));
  server.close();
  expect({code, calls, connections}).to.deep.equal({
    code: 0,
    calls: CALL_COUNT,
    connections: 1,
  });
});
