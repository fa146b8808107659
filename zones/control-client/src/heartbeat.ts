import type {Member} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';

const HEARTBEAT_MS = 500;

/** A running heartbeat. */
export interface Heartbeat {
  /** Announces the process at once, as after a change of its state. */
  beat(): Promise<void>;
  stop(): void;
}

/** Announces a process to control at a steady pace. */
export function startHeartbeat(
  client: ControlClient,
  member: () => Member,
): Heartbeat {
  let busy = false;
  const beat = async () => {
    if (busy) {
      return;
    }
    busy = true;
    await client.call(
      (replica, signal) => replica.heartbeat.mutate(member(), {signal}),
      performance.now() + HEARTBEAT_MS * 2,
    );
    busy = false;
  };
  const timer = setInterval(() => void beat(), HEARTBEAT_MS);
  void beat();
  return {
    beat,
    stop: () => clearInterval(timer),
  };
}
