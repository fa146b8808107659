import http from 'node:http';
import {expect} from 'chai';
import type {Message} from '@marigoldspur/consensus';
import {listen} from '@marigoldspur/http-link';
import {
  deliveryHandler,
  ReplicaLink,
  type Delivery,
  type DeliveryAnswer,
  type ReplicaService,
} from '@marigoldspur/log-links';

const TIMEOUT_MS = 200;
const FROM = {id: 'a', url: 'http://127.0.0.1:1'};

/** A replica that answers each delivery with the messages that it brought. */
class Echo implements ReplicaService {
  readonly deliveries: Delivery[] = [];
  /** Deliveries that it does not answer. */
  silent = 0;

  identity() {
    return {id: 'b', group: 'group'};
  }

  async deliver(delivery: Delivery): Promise<DeliveryAnswer> {
    this.deliveries.push(delivery);
    if (this.silent > 0) {
      this.silent -= 1;
      await new Promise(() => {});
    }
    return {...this.identity(), messages: delivery.messages};
  }
}

let server: http.Server;
let url: string;
let echo: Echo;
let link: ReplicaLink;
let connections = 0;
let requests = 0;
let answers: DeliveryAnswer[] = [];
let onAnswer: () => void = () => {};

beforeEach(async () => {
  echo = new Echo();
  connections = 0;
  requests = 0;
  answers = [];
  const handler = deliveryHandler(echo);
  server = http.createServer((request, response) => {
    requests += 1;
    handler(request, response);
  });
  server.on('connection', () => {
    connections += 1;
  });
  const {host, port} = await listen(server, {host: '127.0.0.1', port: 0});
  url = `http://${host}:${port}`;
  link = new ReplicaLink({
    from: FROM,
    url,
    agent: new http.Agent({keepAlive: true}),
    timeoutMs: TIMEOUT_MS,
    onAnswer: answer => {
      answers.push(answer);
      onAnswer();
    },
  });
});

afterEach(() => {
  link.close();
  server.close();
  server.closeAllConnections();
});

function read(key: string): Message {
  return {kind: 'read', key, group: 'group', from: 'a', to: 'b', term: 1};
}

/** Sends a message and waits for its answer. */
async function exchange(key: string): Promise<void> {
  const answered = new Promise<void>(resolve => {
    onAnswer = () => {
      if (keys().includes(key)) {
        resolve();
      }
    };
  });
  link.enqueue(read(key));
  await answered;
}

function keys(): string[] {
  return answers.flatMap(({messages}) =>
    messages.flatMap(message => (message.kind === 'read' ? message.key : [])),
  );
}

it('link: deliveries go one after the other over one request', async () => {
  for (const key of ['1', '2', '3']) {
    await exchange(key);
  }
  expect(keys()).to.deep.equal(['1', '2', '3']);
  expect({connections, requests}).to.deep.equal({connections: 1, requests: 1});
  expect(echo.deliveries[0].from).to.deep.equal(FROM);
});

it('link: what waits goes together', async () => {
  link.enqueue(read('1'));
  link.enqueue(read('2'));
  link.enqueue(read('3'));
  await exchange('4');
  expect(echo.deliveries[1].messages.length).to.be.greaterThan(1);
});

it('link: a stream that falls silent is replaced', async () => {
  await exchange('1');
  echo.silent = 1;
  link.enqueue(read('lost'));
  await exchange('2');
  expect(keys()).to.deep.equal(['1', '2']);
  expect(requests).to.equal(2);
});

it('link: a broken connection is replaced', async () => {
  await exchange('1');
  server.closeAllConnections();
  while (requests < 2) {
    link.enqueue(read('again'));
    await new Promise(resolve => setImmediate(resolve));
  }
  await exchange('2');
  expect(keys()[0]).to.equal('1');
});

it('deliveries: a line that is none ends the stream unheard', async () => {
  for (const line of ['{"from":{}}', 'x', '{"from":{"id":"a","url":"u"}}']) {
    const error = await broken(line);
    expect(error).to.be.instanceOf(Error);
  }
  expect(echo.deliveries).to.deep.equal([]);
});

it('deliveries: another path is not found', async () => {
  const response = await new Promise<http.IncomingMessage>(resolve => {
    http.get(`${url}/other`, resolve);
  });
  response.resume();
  expect(response.statusCode).to.equal(404);
});

/** Sends a line by hand; resolves to the error that ends the answer. */
function broken(line: string): Promise<unknown> {
  return new Promise(resolve => {
    const request = http.request(`${url}/log/deliveries`, {
      method: 'POST',
    });
    request.on('error', resolve);
    request.on('response', response => {
      response.on('error', resolve);
      response.resume();
    });
    request.write(`${line}\n`);
  });
}
