import {expect} from 'chai';
import {chooseCallerFraming} from '@marigoldspur/dispatch';
import type {BodyFraming} from '@marigoldspur/http-link';

const FRAMINGS: readonly BodyFraming[] = ['none', 'length', 'chunks', 'close'];
const ALL_FACTS = FRAMINGS.flatMap(targetFraming =>
  [0, 1, 2, 3, 4, 5, 6, 7].map(bits => ({
    targetFraming,
    endsByContent: (bits & 1) > 0,
    acceptsChunks: (bits & 2) > 0,
    keepsLength: (bits & 4) > 0,
  })),
);

it('caller framing: an early start never ends with the connection', () => {
  ALL_FACTS.forEach(facts =>
    expect(chooseCallerFraming(facts).early).to.not.equal('close'),
  );
});

it('caller framing: what the connection of the target ends is framed once complete only if its content shows its end', () => {
  ALL_FACTS.filter(({targetFraming}) => targetFraming === 'close').forEach(
    facts =>
      expect(chooseCallerFraming(facts).complete).to.equal(
        facts.endsByContent ? 'length' : 'close',
      ),
  );
});

it('caller framing: what the connection of the target ends starts early only if its content shows its end', () => {
  ALL_FACTS.filter(
    ({endsByContent, targetFraming}) =>
      targetFraming === 'close' && !endsByContent,
  ).forEach(facts =>
    expect(chooseCallerFraming(facts).early).to.equal(undefined),
  );
});

it('caller framing: a caller without chunks gets none', () => {
  ALL_FACTS.filter(({acceptsChunks}) => !acceptsChunks).forEach(facts => {
    const {complete, early} = chooseCallerFraming(facts);
    expect([complete, early]).to.not.include('chunks');
  });
});

it('caller framing: a response that may become another one does not state the length of the first', () => {
  const facts = {
    targetFraming: 'length',
    endsByContent: true,
    acceptsChunks: false,
    keepsLength: false,
  } as const;
  expect(chooseCallerFraming(facts).early).to.equal(undefined);
  expect(chooseCallerFraming({...facts, keepsLength: true}).early).to.equal(
    'length',
  );
});
