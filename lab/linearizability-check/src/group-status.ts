import {setTimeout as delay} from 'node:timers/promises';
import type {ControlStatus} from '@marigoldspur/control-api';
import {ControlClient} from '@marigoldspur/control-client';

const STATUS_TIMEOUT_MS = 1_000;
const STATUS_POLL_MS = 100;

/** Fetches the status of each replica; undefined for a replica that does not answer. */
export async function fetchStatuses(
  urls: readonly string[],
): Promise<Array<ControlStatus | undefined>> {
  const client = new ControlClient({urls});
  const statuses = await Promise.all(
    urls.map(url =>
      client
        .replica(url)
        .status.query(undefined, {
          signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
        })
        .catch(() => undefined),
    ),
  );
  client.close();
  return statuses;
}

/** Waits until every replica is a voter. Before that, the loss of one replica may cost the group its majority. */
export async function waitUntilAllReplicasAreVoters(
  urls: readonly string[],
): Promise<void> {
  for (;;) {
    const statuses = await fetchStatuses(urls);
    if (statuses.every(status => status?.voters.length === urls.length)) {
      return;
    }
    await delay(STATUS_POLL_MS);
  }
}
