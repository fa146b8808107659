import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  HEARTBEAT_PATH,
  HEARTBEAT_RECEIPT_SCHEMA,
  RELAY_PATH,
  RELAYED_ANSWER_SCHEMA,
  type HeartbeatReceipt,
  type Member,
  type RelayedAnswer,
} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';

/** Pace at which the process looks for a change of its state, in milliseconds. */
const LOOK_MS = 500;
/** Longest time between two heartbeats, in milliseconds: a third of the lease. */
const HEARTBEAT_MS = 1_000;
const DIRECT_TIMEOUT_MS = 1_000;
/** A relay that did not answer within this time is left, in milliseconds. */
const RELAY_TIMEOUT_MS = 800;
/** For this long a relay that was left is not used again, in milliseconds. */
const RELAY_PAUSE_MS = 10_000;

/** A running heartbeat. */
export interface Heartbeat {
  /** Announces the process at once, as after a change of its state. */
  beat(): Promise<void>;
  stop(): void;
}

/** What became of a heartbeat. */
export interface HeartbeatAnswer {
  /** When the heartbeat was sent, a `performance.now()` time. */
  readonly sentAt: number;
  readonly result: Result<HeartbeatReceipt, Fault>;
}

/** Announces a process to control; `answered` gets each answer. */
export function startHeartbeat(
  client: ControlClient,
  member: () => Member,
  answered: (answer: HeartbeatAnswer) => void = () => {},
): Heartbeat {
  const announcer = new Announcer(client, member);
  let beating: Promise<void> | undefined;
  const send = async () => {
    const sentAt = performance.now();
    const result = await announcer.announce(sentAt);
    beating = undefined;
    answered({sentAt, result});
  };
  const beat = () => {
    beating ??= send();
    return beating;
  };
  const look = () => {
    if (announcer.isDue(performance.now())) {
      void beat();
    }
  };
  const timer = setInterval(look, LOOK_MS);
  void beat();
  return {
    beat,
    stop: () => clearInterval(timer),
  };
}

/** Sends the heartbeats of one process: by a relay of its zone, or straight to control. */
class Announcer {
  private text = '';
  private mark = 0;
  private sentAt = -Infinity;
  private relays: readonly string[] = [];
  private readonly leftAt = new Map<string, number>();
  /** What the relay in use knows of this process. */
  private known?: {readonly relay: string; readonly mark: number};

  constructor(
    private readonly client: ControlClient,
    private readonly member: () => Member,
  ) {}

  /** Whether the state changed, or the time for a heartbeat has come. */
  isDue(now: number): boolean {
    // Half a look earlier, so that timers that come late don't double the pace.
    return (
      now - this.sentAt >= HEARTBEAT_MS - LOOK_MS / 2 ||
      JSON.stringify(this.member()) !== this.text
    );
  }

  /** Sends a heartbeat at time `now`, a `performance.now()` time. */
  async announce(now: number): Promise<Result<HeartbeatReceipt, Fault>> {
    const member = this.marked(now);
    const relay = this.relays.find(
      url => now - (this.leftAt.get(url) ?? -Infinity) > RELAY_PAUSE_MS,
    );
    if (relay !== undefined) {
      const result = await this.byRelay(relay, member);
      if (result !== undefined) {
        return result;
      }
      this.leftAt.set(relay, performance.now());
    }
    this.known = undefined;
    const result = await this.client.exchange(
      {path: HEARTBEAT_PATH, body: member},
      HEARTBEAT_RECEIPT_SCHEMA,
      performance.now() + DIRECT_TIMEOUT_MS,
    );
    if (result.isOk) {
      this.takeRelays(result.value);
    } else {
      // It is control that fails, and the relays cost it the least.
      this.leftAt.clear();
    }
    return result;
  }

  private marked(now: number): Member {
    const member = this.member();
    const text = JSON.stringify(member);
    if (text !== this.text) {
      this.mark += 1;
      this.text = text;
    }
    this.sentAt = now;
    return {...member, mark: this.mark};
  }

  /** Undefined where the relay can't pass the heartbeat on, so that another way is to be taken. */
  private async byRelay(
    relay: string,
    member: Member,
  ): Promise<Result<HeartbeatReceipt, Fault> | undefined> {
    const isKnown =
      this.known?.relay === relay && this.known.mark === this.mark;
    let answer = await this.send(relay, member, !isKnown);
    if (answer?.outcome === 'unknown') {
      answer = await this.send(relay, member, true);
    }
    switch (answer?.outcome) {
      case 'taken':
        this.known = {relay, mark: member.mark ?? 0};
        this.takeRelays(answer.receipt);
        return Result.ok(answer.receipt);
      case 'fenced':
        return Result.err(
          new Fault('FENCED', 'another agent holds the target'),
        );
      case 'no-leader':
        return Result.err(new Fault('NO_QUORUM', 'control has no leader'));
      default:
        return undefined;
    }
  }

  private async send(
    relay: string,
    member: Member,
    whole: boolean,
  ): Promise<RelayedAnswer | undefined> {
    const {id, boot, mark} = member;
    try {
      return await this.client.exchangeWith(
        new URL(RELAY_PATH, relay),
        {id, boot, mark, ...(whole && {member})},
        {
          schema: RELAYED_ANSWER_SCHEMA,
          signal: AbortSignal.timeout(RELAY_TIMEOUT_MS),
        },
      );
    } catch {
      // Whatever went wrong there, control is asked itself.
      return undefined;
    }
  }

  private takeRelays(receipt: HeartbeatReceipt): void {
    this.relays = receipt.relays ?? this.relays;
  }
}
