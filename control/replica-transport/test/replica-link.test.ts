import http from 'node:http';
import {expect} from 'chai';
import type {Message} from '@marigoldspur/consensus';
import {listen} from '@marigoldspur/http-link';
import {
  createDeliveryHandler,
  ReplicaLink,
  type Delivery,
  type DeliveryAnswer,
  type ReplicaService,
} from '@marigoldspur/replica-transport';

const TIMEOUT_MS = 200;
const FROM = {id: 'a', url: 'http://127.0.0.1:1'};

/** A replica that answers each delivery with the same messages. */
class EchoService implements ReplicaService {
  readonly deliveries: Delivery[] = [];
  /** Number of deliveries to leave unanswered. */
  unansweredCount = 0;

  identity() {
    return {id: 'b', group: 'group'};
  }

  async deliver(delivery: Delivery): Promise<DeliveryAnswer> {
    this.deliveries.push(delivery);
    if (this.unansweredCount > 0) {
      this.unansweredCount -= 1;
      await new Promise(() => {});
    }
    return {...this.identity(), messages: delivery.messages};
  }
}

let server: http.Server;
let url: string;
let echo: EchoService;
let link: ReplicaLink;
let connectionCount = 0;
let requestCount = 0;
let answers: DeliveryAnswer[] = [];
let onAnswer: () => void = () => {};

beforeEach(async () => {
  echo = new EchoService();
  connectionCount = 0;
  requestCount = 0;
  answers = [];
  const handler = createDeliveryHandler(echo);
  server = http.createServer((request, response) => {
    requestCount += 1;
    handler(request, response);
  });
  server.on('connection', () => {
    connectionCount += 1;
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

function readMessage(key: string): Message {
  return {
    kind: 'read',
    key,
    group: 'group',
    from: 'a',
    to: 'b',
    term: 1,
  };
}

/** Sends a message and waits for its answer. */
async function exchange(key: string): Promise<void> {
  const answered = new Promise<void>(resolve => {
    onAnswer = () => {
      if (answeredKeys().includes(key)) {
        resolve();
      }
    };
  });
  link.enqueue(readMessage(key));
  await answered;
}

function answeredKeys(): string[] {
  return answers.flatMap(({messages}) =>
    messages.flatMap(message => (message.kind === 'read' ? message.key : [])),
  );
}

it('replica link: sends deliveries one after another over one request', async () => {
  for (const key of ['1', '2', '3']) {
    await exchange(key);
  }
  expect(answeredKeys()).to.deep.equal(['1', '2', '3']);
  expect({connectionCount, requestCount}).to.deep.equal({
    connectionCount: 1,
    requestCount: 1,
  });
  expect(echo.deliveries[0].from).to.deep.equal(FROM);
});

it('replica link: sends queued messages in one delivery', async () => {
  link.enqueue(readMessage('1'));
  link.enqueue(readMessage('2'));
  link.enqueue(readMessage('3'));
  await exchange('4');
  expect(echo.deliveries[1].messages.length).to.be.greaterThan(1);
});

it('replica link: replaces a stream whose delivery is not answered in time', async () => {
  await exchange('1');
  echo.unansweredCount = 1;
  link.enqueue(readMessage('lost'));
  await exchange('2');
  expect(answeredKeys()).to.deep.equal(['1', '2']);
  expect(requestCount).to.equal(2);
});

it('replica link: replaces a broken connection', async () => {
  await exchange('1');
  server.closeAllConnections();
  while (requestCount < 2) {
    link.enqueue(readMessage('again'));
    await new Promise(resolve => setImmediate(resolve));
  }
  await exchange('2');
  expect(answeredKeys()[0]).to.equal('1');
});

it('delivery handler: an invalid line ends the stream without being delivered', async () => {
  for (const line of ['{"from":{}}', 'x', '{"from":{"id":"a","url":"u"}}']) {
    const error = await errorAfterLine(line);
    expect(error).to.be.instanceOf(Error);
  }
  expect(echo.deliveries).to.deep.equal([]);
});

it('delivery handler: another path is answered with 404', async () => {
  const response = await new Promise<http.IncomingMessage>(resolve => {
    http.get(`${url}/other`, resolve);
  });
  response.resume();
  expect(response.statusCode).to.equal(404);
});

/** Sends a raw line; resolves to the error that ends the response. */
function errorAfterLine(line: string): Promise<unknown> {
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
