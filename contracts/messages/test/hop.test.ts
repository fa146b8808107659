import {expect} from 'chai';
import fc from 'fast-check';
import {
  formatHop,
  HOP_HEADERS,
  parseHop,
  type Hop,
} from '@marigoldspur/messages';

const SEED = 20_261;
const NAME = fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,20}$/);
const COUNT = fc.integer({min: 0, max: 1_000_000});
const HOP: fc.Arbitrary<Hop> = fc.record(
  {
    request: fc.uuid(),
    attempt: COUNT,
    model: fc.option(fc.record({adapter: NAME, version: NAME}), {
      nil: undefined,
    }),
    target: NAME,
    revision: COUNT,
    budgetMs: COUNT,
    firstByteMs: COUNT,
    priority: fc.integer({min: 0, max: 9}),
    repeatable: fc.boolean(),
    origin: fc.constant('http://127.0.0.1:8080'),
    prefix: fc.stringMatching(/^[\w-]{12}$/),
    written: fc.record({clock: fc.uuid(), atMs: COUNT}),
  },
  {
    requiredKeys: [
      'request',
      'attempt',
      'model',
      'target',
      'revision',
      'budgetMs',
      'priority',
      'repeatable',
    ],
  },
);
const HEADER_VALUE = fc.oneof(
  fc.string(),
  fc.constant(undefined),
  fc.array(fc.string()),
  fc.constantFrom('true', '1', '-1', '1e9', '0x10', 'a@b', 'a@b@c', ''),
);

it('hop: parse is the inverse of format', () => {
  fc.assert(
    fc.property(HOP, hop => {
      const parsed = parseHop(formatHop(hop) as Record<string, string>);
      expect(parsed.isOk && parsed.value).to.deep.equal(hop);
    }),
    {seed: SEED},
  );
});

it('hop: arbitrary headers are parsed into a hop with whole numbers, or rejected with findings', () => {
  const headers = fc.record(
    Object.fromEntries(
      Object.values(HOP_HEADERS).map(name => [name, HEADER_VALUE]),
    ),
    {requiredKeys: []},
  );
  fc.assert(
    fc.property(headers, values => {
      const parsed = parseHop(values as Record<string, string>);
      if (parsed.isErr) {
        expect(parsed.error).to.not.be.empty;
        return;
      }
      const {attempt, revision, budgetMs, priority} = parsed.value;
      for (const number of [attempt, revision, budgetMs, priority]) {
        expect(Number.isSafeInteger(number)).to.equal(true);
      }
    }),
    {seed: SEED, numRuns: 2_000},
  );
});
