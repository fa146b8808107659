import http from 'node:http';
import {expect} from 'chai';
import type {Consensus, Message} from '@marigoldspur/consensus';
import {DELIVERY_SCHEMA} from '@marigoldspur/replica-transport';
import {LinkRegistry} from '../src/link-registry.js';
import {PeerRegistry} from '../src/peer-registry.js';

const OWN_URL = 'http://127.0.0.1:1';
const INVALID_URLS = ['no URL', 'http://[', 'http://a:99999', 'ftp://a', ''];

// Guards against replicas that end again at each start, since one URL in the log is invalid.
it('replica URLs: a replica of the group with an invalid URL gets no messages and ends no process', async () => {
  const agent = new http.Agent();
  const rejections: unknown[] = [];
  const record = (reason: unknown) => rejections.push(reason);
  process.on('unhandledRejection', record);
  const voters = INVALID_URLS.map((url, index) => ({id: `r${index}`, url}));
  const registry = new LinkRegistry({
    consensus: {
      id: 'own',
      configuration: {voters, learners: []},
    } as unknown as Consensus,
    url: OWN_URL,
    agent,
    timeoutMs: 100,
    onAnswer: () => {},
  });
  voters.forEach(({id}) => registry.send({to: id} as Message));
  await new Promise(resolve => setTimeout(resolve, 10));
  process.off('unhandledRejection', record);
  registry.close();
  expect(rejections).to.deep.equal([]);
});

it('replica URLs: an invalid URL that another replica reports is not kept', () => {
  const peers = new PeerRegistry({
    ownUrl: OWN_URL,
    seeds: [OWN_URL],
    desiredVoters: 3,
  });
  [...INVALID_URLS, 'http://127.0.0.1:2'].forEach(url =>
    peers.addDiscovered(url),
  );
  expect(peers.otherUrls()).to.deep.equal(['http://127.0.0.1:2']);
});

it('replica URLs: a delivery of a sender with an invalid URL is rejected', () => {
  for (const url of INVALID_URLS) {
    const delivery = {from: {id: 'r', url}, messages: []};
    expect(DELIVERY_SCHEMA.safeParse(delivery).success, url).to.equal(false);
  }
});
