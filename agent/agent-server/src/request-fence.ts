import type {ControlClient} from '@marigoldspur/control-client';
import type {FenceGrant} from '@marigoldspur/messages';
import type {AgentSettings} from './agent-settings.js';

const GRANT_TIMEOUT_MS = 60_000;

/**
 * Requests a fencing number for the target from control. It is higher than those
 * of all previous agents. Throws the fault of the call if it cannot be retried or
 * no replica grants a number within a minute.
 */
export async function requestFence(
  settings: Pick<AgentSettings, 'target'>,
  {
    controlClient,
    boot,
  }: {readonly controlClient: ControlClient; readonly boot: string},
): Promise<FenceGrant> {
  const granted = await controlClient.call(
    (replica, signal) =>
      replica.grantFence.mutate({target: settings.target, boot}, {signal}),
    performance.now() + GRANT_TIMEOUT_MS,
  );
  if (granted.isErr) {
    throw granted.error;
  }
  return granted.value;
}
