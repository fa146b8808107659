import {expect} from 'chai';
import fc from 'fast-check';
import {readCallerRequest} from '@marigoldspur/caller-api';
import {SETTINGS_TREE_SCHEMA} from '@marigoldspur/settings-schema';

const SEED = 20_262;
const TREE = SETTINGS_TREE_SCHEMA.parse({
  customers: {
    callao: {
      services: {
        'lm-desk': {
          kind: 'model',
          baseModel: 'base',
          adapters: {
            recap: {
              versions: {v1: {digest: 'd1'}, v0: {digest: 'd0', retired: true}},
            },
          },
        },
        'chart-api': {kind: 'plain', pathPrefix: 'chart-api'},
      },
    },
  },
});
const PATHS = fc.constantFrom(
  '/v1/completions',
  '/v1/chat/completions?x=1',
  '/chart-api',
  '/chart-api/a?b=c',
  '/__proto__/x',
  '//',
  '*',
);
const MODELS = fc.oneof(
  fc.constantFrom('recap@v1', 'recap@v0', '__proto__@constructor', 'recap'),
  fc.string(),
);
const BODIES = fc.oneof(
  fc.json(),
  fc.string(),
  fc
    .record({model: MODELS, stream: fc.boolean()})
    .map(value => JSON.stringify(value)),
);

it('caller request: any request is parsed or refused as not run', () => {
  fc.assert(
    fc.property(
      fc.oneof(PATHS, fc.webPath()),
      fc.constantFrom('GET', 'POST', 'PUT', 'OPTIONS'),
      fc.option(fc.constantFrom('callao', 'fretwell', '__proto__'), {
        nil: undefined,
      }),
      BODIES,
      (url, method, customer, body) => {
        const head = {method, url, customer};
        const read = readCallerRequest(head, Buffer.from(body), TREE);
        if (read.isErr) {
          expect(read.error.outcome).to.equal('not-run');
          expect(read.error.status).to.be.within(400, 499);
          return;
        }
        expect(read.value.customer).to.equal('callao');
        expect(read.value.url).to.match(/^\//);
        expect(customer ?? 'callao').to.equal('callao');
      },
    ),
    {seed: SEED, numRuns: 3_000},
  );
});

it('caller request: only an active version of a known adapter is accepted', () => {
  const read = (model: string) =>
    readCallerRequest(
      {method: 'POST', url: '/v1/completions', customer: undefined},
      Buffer.from(JSON.stringify({model})),
      TREE,
    );
  expect(read('recap@v1').isOk).to.equal(true);
  const refused = ['recap@v0', 'recap@v2', 'other@v1', 'recap'].map(model => {
    const outcome = read(model);
    return outcome.isErr && outcome.error.reason;
  });
  expect(refused).to.deep.equal([
    'retired_version',
    'unknown_version',
    'unknown_adapter',
    'malformed_model',
  ]);
});
