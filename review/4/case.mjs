/* global clearInterval, setInterval */
/* An entry is killed while it passes on answers that have neither a length nor chunks. */
import path from 'node:path';
import process from 'node:process';
import http from 'node:http';
import {pause, PlainServer, runCase} from '../harness.mjs';

const LIMIT_MS = 60_000;
/** With TROUBLE=0 the disruption is left out. */
const isCalm = process.env.TROUBLE === '0';
/** What was sent, answered and run. */
const record = path.join(import.meta.dirname, 'record.txt');

const CONTROL = ['127.4.0.1', '127.4.0.2', '127.4.0.3'];
const ENTRIES = ['127.4.1.1', '127.4.1.2'];
/** The first of the two servers gives some answers that have neither a length nor chunks. */
const SERVERS = ['127.4.2.1', '127.4.2.2'];
const HEARTBEAT_MS = 1_200;
/** A server writes an answer as it makes it: so many lines, one each interval. */
const LINES = 40;
const LINE_INTERVAL_MS = 100;
/** Callers of the first entry, and of the other one. */
const CALLERS = [80, 20];
/** One of its answers in 20 is such a one, the largest share on the pages (0.05). */
const UNFRAMED_EVERY = 20;
const KILL_AFTER_MS = 2_000;
const RESTART_MS = 500;

const line = (id, number) =>
  `line ${number} of ${LINES} of the answer to ${id}\n`;
const wholeBody = id =>
  Array.from({length: LINES}, (_, index) => line(id, index + 1)).join('');

const configuration = {
  version: 7,
  routes: [
    {
      name: 'r-lookup',
      host: 'desk.example',
      pathPrefix: '/lookup/',
      routeKind: 'unsafe',
      timeoutMs: 10_000,
      targetLatencyMs: 5_000,
      priority: 1,
      service: 'desk',
      maxAttempts: 1,
    },
  ],
  services: [
    {
      name: 'desk',
      healthPath: '/healthz',
      maxConnections: 100,
      protocol: 'h1',
      tls: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

function call(address, id, recorder) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    recorder.add(`caller sends ${id} to ${address}`);
    const request = http.request({
      host,
      port,
      method: 'POST',
      path: '/lookup/x',
      agent: false,
      headers: {
        host: 'desk.example',
        'request-id': id,
        'deadline-ms': '10000',
        'content-length': 2,
      },
    });
    const result = {
      id,
      status: 0,
      body: '',
      isComplete: false,
      error: undefined,
    };
    const end = () => {
      const isWhole = result.body === wholeBody(id);
      recorder.add(
        `caller of ${id}: status ${result.status}, signature ${result.signature ?? 'none'}, framing ${result.framing}, ${result.body.length} of ${wholeBody(id).length} bytes, ended ${result.isComplete ? 'cleanly' : 'by a reset or early'}${result.error ? ` (${result.error})` : ''}`,
      );
      resolve({...result, isWhole});
    };
    request.on('error', error => {
      if (result.status === 0) {
        result.error = error.message;
        end();
      }
    });
    request.on('response', response => {
      result.status = response.statusCode;
      result.signature = response.headers['server-signature'];
      const {'content-length': length, 'transfer-encoding': coding} =
        response.headers;
      result.framing = length !== undefined ? 'length' : (coding ?? 'none');
      response.on('data', piece => {
        result.body += piece;
      });
      response.on('error', error => {
        result.error = error.message;
      });
      response.on('close', () => {
        result.isComplete = response.complete && result.error === undefined;
        end();
      });
    });
    request.end('{}');
  });
}

await runCase(
  {record, isCalm, limitMs: LIMIT_MS},
  async (deployment, recorder) => {
    const servers = SERVERS.map((ip, index) => {
      let answers = 0;
      return new PlainServer({
        id: `i-desk-${index}`,
        service: 'desk',
        ip,
        slots: 64,
        recorder,
        work: async ({response, id}) => {
          const isUnframed = index === 0 && answers % UNFRAMED_EVERY === 0;
          answers += 1;
          if (isUnframed) {
            recorder.add(
              `i-desk-${index} answers ${id} without a length or chunks`,
            );
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
          }
          response.writeHead(200, {'content-type': 'text/plain'});
          for (let number = 1; number <= LINES; number += 1) {
            await pause(LINE_INTERVAL_MS);
            response.write(line(id, number));
          }
          response.end();
        },
      });
    });
    await Promise.all(servers.map(server => server.listen()));
    CONTROL.forEach((ip, index) =>
      deployment.start('control', `core-${index}`, ip, {
        seeds: CONTROL,
        bootstrap: true,
      }),
    );
    ENTRIES.forEach((ip, index) =>
      deployment.start('entry', `edge-${index}`, ip, {seeds: CONTROL}),
    );
    await deployment.replaceConfiguration(CONTROL, configuration);
    let beats = 0;
    const beat = () =>
      servers.forEach(server => {
        beats += 1;
        void deployment.callControl(
          CONTROL[beats % CONTROL.length],
          'POST',
          `/marigoldspur/instances/${server.id}/heartbeat`,
          server.announcement(),
        );
      });
    beat();
    const heartbeats = setInterval(beat, HEARTBEAT_MS);
    await Promise.all(ENTRIES.map(ip => deployment.waitUntilReady(ip)));
    await pause(3_500);
    const calls = ENTRIES.flatMap((ip, entry) =>
      Array.from({length: CALLERS[entry]}, (_, index) =>
        call(
          deployment.callerAddress(ip),
          `review-4-${entry}-${index}`,
          recorder,
        ),
      ),
    );
    await pause(KILL_AFTER_MS);
    if (!isCalm) {
      deployment.signal('edge-0', 'SIGKILL');
      await deployment.machines.get('edge-0').exited;
      await pause(RESTART_MS);
      deployment.restart('edge-0');
    }
    const results = await Promise.all(calls);
    clearInterval(heartbeats);
    servers.forEach(server => server.close());
    // MIXED: a success whose body is not the server's whole body, and that looks complete.
    const wrong = results.filter(
      ({status, isComplete, isWhole}) =>
        status === 200 && isComplete && !isWhole,
    );
    recorder.add(
      `${results.filter(({isWhole}) => isWhole).length} of ${results.length} answers whole; ${wrong.length} look complete and are not`,
    );
    if (isCalm && results.some(({isWhole}) => !isWhole)) {
      throw new Error('the deployment does not serve without the disruption');
    }
    return wrong.length > 0;
  },
);
