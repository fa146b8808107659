import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {UNKNOWN_START_TIME} from '@marigoldspur/deployment';
import {askStart, StartConfirmer} from '@marigoldspur/target-starts';

const TARGET = {id: 'i1', bornAt: 5, address: '10.0.0.1:80'};

let start: number | undefined;
let questions: string[];
let confirmer: StartConfirmer;

beforeEach(() => {
  start = 5;
  questions = [];
  confirmer = new StartConfirmer({
    askStart: async address => {
      questions.push(address);
      return start;
    },
  });
});

it('start confirmer: a connection is asked about once', async () => {
  const connection = {};
  expect(await confirmer.confirm(TARGET, connection)).to.equal('announced');
  expect(await confirmer.confirm(TARGET, connection)).to.equal('announced');
  expect(await confirmer.confirm(TARGET, {})).to.equal('announced');
  expect(questions).to.have.length(2);
});

it('start confirmer: another start is not confirmed', async () => {
  const connection = {};
  start = 9;
  expect(await confirmer.confirm(TARGET, connection)).to.equal('other');
  expect(await confirmer.confirm({...TARGET, bornAt: 9}, connection)).to.equal(
    'announced',
  );
  expect(await confirmer.confirm(TARGET, connection)).to.equal('other');
});

it('start confirmer: a process that does not answer is not confirmed', async () => {
  start = undefined;
  expect(await confirmer.confirm(TARGET, {})).to.equal('unknown');
});

it('start confirmer: a target that states no start is not asked', async () => {
  const target = {...TARGET, bornAt: UNKNOWN_START_TIME};
  expect(await confirmer.confirm(target, {})).to.equal('announced');
  expect(questions).to.have.length(0);
});

it('ask start: the start is read from the answer; other answers state none', async () => {
  const server = http.createServer((request, response) => {
    response.statusCode = request.url === '/start' ? 200 : 404;
    response.end('7');
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const parse = (body: Buffer) => Number(body.toString());
  expect(await askStart(address, {path: '/start', parse})).to.equal(7);
  expect(await askStart(address, {path: '/other', parse})).to.equal(undefined);
  server.close();
  expect(await askStart(address, {path: '/start', parse})).to.equal(undefined);
});
