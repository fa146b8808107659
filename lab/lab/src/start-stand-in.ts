import {startChild, type Child} from './child.js';

/** Package of the stand-ins' program. */
export const LAB = '@marigoldspur/lab';

/** Starts a stand-in; resolves once it listens. */
export async function startStandIn(
  name: string,
  args: readonly string[],
): Promise<Child> {
  const child = startChild(name, LAB, args);
  await child.line(line => line.startsWith('ready '));
  return child;
}
