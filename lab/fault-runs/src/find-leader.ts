import {setTimeout as delay} from 'node:timers/promises';
import {ControlClient} from '@marigoldspur/control-client';

const STATUS_TIMEOUT_MS = 500;
const POLL_MS = 50;

/** Finds the index of the control replica that leads; waits until there is a leader. */
export async function findLeaderIndex(
  urls: readonly string[],
): Promise<number> {
  const client = new ControlClient({urls: [...urls]});
  try {
    for (;;) {
      const terms = await Promise.all(
        urls.map(url => fetchLeaderTerm(client, url)),
      );
      const highestTerm = Math.max(...terms);
      if (highestTerm >= 0) {
        return terms.indexOf(highestTerm);
      }
      await delay(POLL_MS);
    }
  } finally {
    client.close();
  }
}

/** Fetches the term in which a replica leads; -1 if it does not lead or does not answer. */
async function fetchLeaderTerm(
  client: ControlClient,
  url: string,
): Promise<number> {
  const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
  const status = await client
    .replica(url)
    .status.query(undefined, {signal})
    .catch(() => undefined);
  return status?.role === 'leader' ? status.term : -1;
}
