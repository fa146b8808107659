import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  HEARTBEAT_PATH,
  HEARTBEAT_RECEIPT_SCHEMA,
  HEARTBEAT_RELAY_PATH,
  RELAYED_ANSWER_SCHEMA,
  splitMember,
  type HeartbeatReceipt,
  type Member,
  type RelayedAnswer,
  type RelayedHeartbeat,
} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';
import {MessageStream} from './message-stream.js';

/** Interval between checks for a change of the process state, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Maximum time between two heartbeats, in milliseconds: a third of the lease. */
const HEARTBEAT_INTERVAL_MS = 1_000;
const DIRECT_TIMEOUT_MS = 1_000;
/** Timeout after which a relay is abandoned, in milliseconds. */
const RELAY_TIMEOUT_MS = 800;
/** Time for which an abandoned relay is not used again, in milliseconds. */
const RELAY_COOLDOWN_MS = 10_000;

/** Sends the heartbeats of a process until it is stopped. */
export interface HeartbeatSender {
  /** Sends a heartbeat immediately, for example after a state change. */
  sendNow(): Promise<void>;
  stop(): void;
}

/** Result of a heartbeat. */
export interface HeartbeatResult {
  /** Time at which the heartbeat was sent, a `performance.now()` time. */
  readonly sentAt: number;
  readonly result: Result<HeartbeatReceipt, Fault>;
}

/** Starts the heartbeats of a process to control; calls `onAnswer` with each result. */
export function startHeartbeat(
  client: ControlClient,
  member: () => Member,
  onAnswer: (answer: HeartbeatResult) => void = () => {},
): HeartbeatSender {
  const announcer = new Announcer(client, member);
  let pendingHeartbeat: Promise<void> | undefined;
  const send = async () => {
    const sentAt = performance.now();
    const result = await announcer.announce(sentAt);
    pendingHeartbeat = undefined;
    onAnswer({sentAt, result});
  };
  const sendNow = () => {
    pendingHeartbeat ??= send();
    return pendingHeartbeat;
  };
  const check = () => {
    if (announcer.isDue(performance.now())) {
      void sendNow();
    }
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  void sendNow();
  return {
    sendNow,
    stop: () => {
      clearInterval(timer);
      announcer.stop();
    },
  };
}

/** The state of this process that a relay last accepted. */
interface RelayState {
  /** Base URL of the relay. */
  readonly relay: string;
  readonly mark: number;
  /** The load report as JSON; undefined if there is none. */
  readonly load: string | undefined;
}

/** Sends the heartbeats of one process, through a relay of its zone or directly to control. */
class Announcer {
  /** Last sent state, as JSON. */
  private sentState = '';
  private sentAt = -Infinity;
  /** Last state announced to control, as JSON. */
  private announcedState = '';
  /** Number of the latest announcement, which increases when the announced state changes. */
  private mark = 0;
  private relays: readonly string[] = [];
  private readonly abandonedAt = new Map<string, number>();
  private relayState?: RelayState;
  private readonly stream: MessageStream;

  constructor(
    private readonly client: ControlClient,
    private readonly member: () => Member,
  ) {
    this.stream = new MessageStream(client, HEARTBEAT_RELAY_PATH);
  }

  stop(): void {
    this.stream.end();
  }

  /** Whether the state changed or a heartbeat is due. */
  isDue(now: number): boolean {
    // A heartbeat is due half a check interval early, so that a late timer does not delay it by a whole one.
    return (
      now - this.sentAt >= HEARTBEAT_INTERVAL_MS - CHECK_INTERVAL_MS / 2 ||
      JSON.stringify(this.member()) !== this.sentState
    );
  }

  /** Sends a heartbeat at time `now`, a `performance.now()` time. */
  async announce(now: number): Promise<Result<HeartbeatReceipt, Fault>> {
    const member = this.member();
    this.sentState = JSON.stringify(member);
    this.sentAt = now;
    const relay = this.relays.find(
      url => now - (this.abandonedAt.get(url) ?? -Infinity) > RELAY_COOLDOWN_MS,
    );
    if (relay !== undefined) {
      const result = await this.sendThroughRelay(relay, member);
      if (result !== undefined) {
        return result;
      }
      this.abandonedAt.set(relay, performance.now());
      this.stream.end();
    }
    this.relayState = undefined;
    const result = await this.client.exchange(
      {path: HEARTBEAT_PATH, body: this.withMark(member)},
      HEARTBEAT_RECEIPT_SCHEMA,
      performance.now() + DIRECT_TIMEOUT_MS,
    );
    if (result.isOk) {
      this.updateRelays(result.value);
    } else {
      // Control itself is failing. Relayed heartbeats cost it the least, so all relays may be used again.
      this.abandonedAt.clear();
    }
    return result;
  }

  /**
   * Adds the mark, which increases if the announcement differs from the previous one. A
   * relayed announcement omits the load report, so it differs from a direct announcement
   * of a member with a load report.
   */
  private withMark(announcement: Member): Member {
    const text = JSON.stringify(announcement);
    if (text !== this.announcedState) {
      this.mark += 1;
      this.announcedState = text;
    }
    return {...announcement, mark: this.mark};
  }

  /** Sends a heartbeat through a relay; undefined if the relay cannot forward it. */
  private async sendThroughRelay(
    relay: string,
    fullMember: Member,
  ): Promise<Result<HeartbeatReceipt, Fault> | undefined> {
    const {memberWithoutLoad, load} = splitMember(fullMember);
    const member = this.withMark(memberWithoutLoad);
    const {id, boot, mark = 0} = member;
    const loadJson = load && JSON.stringify(load);
    const known =
      this.relayState?.relay === relay ? this.relayState : undefined;
    const heartbeat = {id, boot, mark};
    let answer = await this.send(relay, {
      ...heartbeat,
      ...(known?.mark !== mark && {member}),
      ...((known?.mark !== mark || known.load !== loadJson) && {load}),
    });
    if (answer?.outcome === 'unknown') {
      answer = await this.send(relay, {...heartbeat, member, load});
    }
    switch (answer?.outcome) {
      case 'taken':
        this.relayState = {relay, mark, load: loadJson};
        this.updateRelays(answer.receipt);
        return Result.ok(answer.receipt);
      case 'fenced':
        return Result.err(
          new Fault('FENCED', 'the target is held by another agent'),
        );
      case 'no-leader':
        return Result.err(new Fault('NO_QUORUM', 'control has no leader'));
      default:
        return undefined;
    }
  }

  private async send(
    relay: string,
    heartbeat: RelayedHeartbeat,
  ): Promise<RelayedAnswer | undefined> {
    try {
      return await this.stream.exchange(relay, heartbeat, {
        schema: RELAYED_ANSWER_SCHEMA,
        timeoutMs: RELAY_TIMEOUT_MS,
      });
    } catch {
      // On any error, the heartbeat is sent directly to control.
      return undefined;
    }
  }

  private updateRelays(receipt: HeartbeatReceipt): void {
    this.relays = receipt.relays ?? this.relays;
  }
}
