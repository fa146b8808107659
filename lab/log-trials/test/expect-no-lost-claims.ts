import {expect} from 'chai';
import {
  findLostClaims,
  type ClaimLoad,
  type ControlHostGroup,
} from '@marigoldspur/log-trials';

/** Ends a load; expects that more than `count` claims were granted and none of them is lost. */
export async function expectNoLostClaims(
  group: ControlHostGroup,
  load: ClaimLoad,
  count: number,
): Promise<void> {
  const {granted} = await load.stop();
  expect(granted.length).to.be.greaterThan(count);
  expect(await findLostClaims(group.client, granted)).to.deep.equal([]);
}
