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
export interface HeartbeatSender {
  /** Announces the process at once, as after a change of its state. */
  sendNow(): Promise<void>;
  stop(): void;
}

/** What became of a heartbeat. */
export interface HeartbeatResult {
  /** When the heartbeat was sent, a `performance.now()` time. */
  readonly sentAt: number;
  readonly result: Result<HeartbeatReceipt, Fault>;
}

/** Announces a process to control; `answered` gets each answer. */
export function startHeartbeat(
  client: ControlClient,
  member: () => Member,
  onAnswer: (answer: HeartbeatResult) => void = () => {},
): HeartbeatSender {
  const announcer = new Announcer(client, member);
  let beating: Promise<void> | undefined;
  const send = async () => {
    const sentAt = performance.now();
    const result = await announcer.announce(sentAt);
    beating = undefined;
    onAnswer({sentAt, result});
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
    sendNow: beat,
    stop: () => {
      clearInterval(timer);
      announcer.stop();
    },
  };
}

/** What a relay knows of this process. */
interface KnownAtRelay {
  readonly relay: string;
  readonly mark: number;
  /** The load report as JSON, where there is one. */
  readonly load: string | undefined;
}

/** Sends the heartbeats of one process: by a relay of its zone, or straight to control. */
class Announcer {
  /** The state that was sent last, as JSON. */
  private text = '';
  private sentAt = -Infinity;
  /** What was last announced to control, as JSON, and the count of its changes. */
  private announced = '';
  private mark = 0;
  private relays: readonly string[] = [];
  private readonly leftAt = new Map<string, number>();
  private known?: KnownAtRelay;
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
    const member = this.member();
    this.text = JSON.stringify(member);
    this.sentAt = now;
    const relay = this.relays.find(
      url => now - (this.leftAt.get(url) ?? -Infinity) > RELAY_PAUSE_MS,
    );
    if (relay !== undefined) {
      const result = await this.byRelay(relay, member);
      if (result !== undefined) {
        return result;
      }
      this.leftAt.set(relay, performance.now());
      this.stream.end();
    }
    this.known = undefined;
    const result = await this.client.exchange(
      {path: HEARTBEAT_PATH, body: this.marked(member)},
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

  /** What control is told, with its mark: by another way it counts as another state. */
  private marked(announcement: Member): Member {
    const text = JSON.stringify(announcement);
    if (text !== this.announced) {
      this.mark += 1;
      this.announced = text;
    }
    return {...announcement, mark: this.mark};
  }

  /** Undefined where the relay can't pass the heartbeat on, so that another way is to be taken. */
  private async byRelay(
    relay: string,
    whole: Member,
  ): Promise<Result<HeartbeatReceipt, Fault> | undefined> {
    const {memberWithoutLoad: calm, load} = splitMember(whole);
    const member = this.marked(calm);
    const {id, boot, mark = 0} = member;
    const loadText = load && JSON.stringify(load);
    const known = this.known?.relay === relay ? this.known : undefined;
    const heartbeat = {id, boot, mark};
    let answer = await this.send(relay, {
      ...heartbeat,
      ...(known?.mark !== mark && {member}),
      ...((known?.mark !== mark || known.load !== loadText) && {load}),
    });
    if (answer?.outcome === 'unknown') {
      answer = await this.send(relay, {...heartbeat, member, load});
    }
    switch (answer?.outcome) {
      case 'taken':
        this.known = {relay, mark, load: loadText};
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
    heartbeat: RelayedHeartbeat,
  ): Promise<RelayedAnswer | undefined> {
    try {
      return await this.stream.exchange(relay, heartbeat, {
        schema: RELAYED_ANSWER_SCHEMA,
        timeoutMs: RELAY_TIMEOUT_MS,
      });
    } catch {
      // Whatever went wrong there, control is asked itself.
      return undefined;
    }
  }

  private takeRelays(receipt: HeartbeatReceipt): void {
    this.relays = receipt.relays ?? this.relays;
  }
}
