import {setTimeout as pause} from 'node:timers/promises';
import {ControlClient} from '@marigoldspur/control-client';

const STATUS_TIMEOUT_MS = 500;
const POLL_MS = 50;

/** Index of the replica of control that leads; waits while none does. */
export async function leaderOf(urls: readonly string[]): Promise<number> {
  const client = new ControlClient({urls: [...urls]});
  try {
    for (;;) {
      const terms = await Promise.all(
        urls.map(url => leadingTerm(client, url)),
      );
      const latest = Math.max(...terms);
      if (latest >= 0) {
        return terms.indexOf(latest);
      }
      await pause(POLL_MS);
    }
  } finally {
    client.close();
  }
}

/** The term that a replica leads; -1 where it does not lead or does not answer. */
async function leadingTerm(
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
