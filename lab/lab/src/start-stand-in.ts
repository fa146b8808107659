import {startChild, type Child} from './child.js';

/** Package whose program runs the stand-ins. */
export const LAB_PACKAGE = '@marigoldspur/lab';

/** Starts a stand-in; resolves when it is listening. */
export async function startStandIn(
  name: string,
  args: readonly string[],
): Promise<Child> {
  const child = startChild(name, LAB_PACKAGE, args);
  await child.waitForLine(line => line.startsWith('ready '));
  return child;
}
