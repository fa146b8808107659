import {expect} from 'chai';
import {
  lostClaims,
  type ClaimLoad,
  type ControlGroup,
} from '@marigoldspur/log-trials';

/** Ends a load, and expects that more than `count` of its claims were granted and none is forgotten. */
export async function expectNothingLost(
  group: ControlGroup,
  load: ClaimLoad,
  count: number,
): Promise<void> {
  const {granted} = await load.stop();
  expect(granted.length).to.be.greaterThan(count);
  expect(await lostClaims(group.client, granted)).to.deep.equal([]);
}
