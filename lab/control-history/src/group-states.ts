import {setTimeout as pause} from 'node:timers/promises';
import type {ControlStatus} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';

const STATUS_MS = 1_000;
const STATUS_PAUSE_MS = 100;

/** What each replica says of itself; undefined where it does not answer. */
export async function groupStates(
  urls: readonly string[],
): Promise<Array<ControlStatus | undefined>> {
  const client = new ControlClient({urls});
  const states = await Promise.all(
    urls.map(url =>
      client
        .replica(url)
        .status.query(undefined, {signal: AbortSignal.timeout(STATUS_MS)})
        .catch(() => undefined),
    ),
  );
  client.close();
  return states;
}

/** Waits until every replica has a vote: before that, the loss of one may end the majority. */
export async function awaitWholeGroup(urls: readonly string[]): Promise<void> {
  for (;;) {
    const states = await groupStates(urls);
    if (states.every(state => state?.voters.length === urls.length)) {
      return;
    }
    await pause(STATUS_PAUSE_MS);
  }
}
