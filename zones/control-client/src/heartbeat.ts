import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {Member} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';

const HEARTBEAT_MS = 500;

/** A running heartbeat. */
export interface Heartbeat {
  /** Announces the process at once, as after a change of its state. */
  beat(): Promise<void>;
  stop(): void;
}

/** What control says to a heartbeat that it took. */
export interface HeartbeatReceipt {
  /** How long the member lives without a further heartbeat, in milliseconds. */
  readonly leaseMs: number;
  /** The latest settings revision that control knows. */
  readonly revision: number;
}

/** What became of a heartbeat. */
export interface HeartbeatAnswer {
  /** When the heartbeat was sent, a `performance.now()` time. */
  readonly sentAt: number;
  readonly result: Result<HeartbeatReceipt, Fault>;
}

/** Announces a process to control at a steady pace; `answered` gets each answer. */
export function startHeartbeat(
  client: ControlClient,
  member: () => Member,
  answered: (answer: HeartbeatAnswer) => void = () => {},
): Heartbeat {
  let beating: Promise<void> | undefined;
  const send = async () => {
    const sentAt = performance.now();
    const result = await client.call(
      (replica, signal) => replica.heartbeat.mutate(member(), {signal}),
      sentAt + HEARTBEAT_MS * 2,
    );
    beating = undefined;
    answered({sentAt, result});
  };
  const beat = () => {
    beating ??= send();
    return beating;
  };
  const timer = setInterval(() => void beat(), HEARTBEAT_MS);
  void beat();
  return {
    beat,
    stop: () => clearInterval(timer),
  };
}
