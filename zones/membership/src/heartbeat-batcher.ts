import type {
  BatchAnswer,
  HeartbeatBatch,
  HeartbeatReceipt,
  Member,
  RelayedAnswer,
  RelayedHeartbeat,
  RelayStamp,
} from '@marigoldspur/messages';
import type {LoadReportStore} from './load-report-store.js';

/** Who gathers heartbeats. */
export interface RelayIdentity {
  readonly id: string;
  readonly boot: string;
  readonly zone: string;
}

interface Row {
  readonly boot: string;
  readonly mark: number;
  readonly member: Member;
  heardAt: number;
  /** Whether the leader has this announcement. */
  told: boolean;
  waiting: Array<(answer: RelayedAnswer) => void>;
}

/** A member that was not heard for this long is no longer spoken for, in milliseconds. */
const SILENT_AFTER_MS = 1_500;

/**
 * The heartbeats that a relay gathers for the leader of control.
 *
 * A heartbeat is answered once a batch that holds it was taken by the leader, so
 * that its answer says what a heartbeat straight to the leader would.
 */
export class HeartbeatBatcher {
  private readonly rows = new Map<string, Row>();
  private silent: string[] = [];
  private stamp?: RelayStamp;
  private stampedAt = 0;
  /** The relays of the zone, as control named them last. */
  private relays: HeartbeatReceipt['relays'];

  /** Load reports go to `loads` alone: the leader is not told of them. */
  constructor(
    private readonly relay: RelayIdentity,
    private readonly loads: LoadReportStore,
  ) {}

  /** Members that the relay speaks for. */
  get size(): number {
    return this.rows.size;
  }

  /** Whether there is something that the leader should know at once. */
  get isUrgent(): boolean {
    return [...this.rows.values()].some(row => !row.told);
  }

  /** Takes a heartbeat at time `now`, in milliseconds, and answers once control took it. */
  receive(heartbeat: RelayedHeartbeat, now: number): Promise<RelayedAnswer> {
    if (this.isOlderAgent(heartbeat)) {
      return Promise.resolve({outcome: 'fenced'});
    }
    const row = this.rowOf(heartbeat);
    if (row === undefined) {
      return Promise.resolve({outcome: 'unknown'});
    }
    row.heardAt = now;
    if (heartbeat.load !== undefined) {
      const {id, boot, load} = heartbeat;
      this.loads.put({id, boot, load});
    }
    return new Promise(resolve => row.waiting.push(resolve));
  }

  /** What to tell the leader at time `now`. */
  createBatch(now: number): HeartbeatBatch {
    this.dropSilent(now);
    const rows = [...this.rows.values()];
    const heardAt = Math.min(now, ...rows.map(row => row.heardAt));
    const announced = rows.filter(row => !row.told);
    return {
      relay: this.relay.id,
      boot: this.relay.boot,
      zone: this.relay.zone,
      stamp: this.stamp,
      heardMs:
        this.stamp === undefined ? 0 : Math.floor(heardAt - this.stampedAt),
      announced: announced.map(row => row.member),
      silent: this.silent,
    };
  }

  /** Takes the answer to a batch made at `sentAt`, received at `now`; both in milliseconds. */
  handleAnswer(
    batch: HeartbeatBatch,
    answer: BatchAnswer,
    sentAt: number,
    now: number,
  ): void {
    this.stamp = answer.stamp;
    this.stampedAt = now;
    this.relays = answer.receipt.relays ?? this.relays;
    if (!answer.taken) {
      this.tellAll();
      return;
    }
    this.silent = this.silent.slice(batch.silent.length);
    batch.announced.forEach(member => this.told(member));
    answer.missing.forEach(id => this.tellAgain(id));
    answer.fenced.forEach(({id, boot}) => this.fence(id, boot));
    const receipt = this.relays
      ? {...answer.receipt, relays: this.relays}
      : answer.receipt;
    for (const row of this.rows.values()) {
      if (row.told && row.heardAt <= sentAt) {
        settle(row, {outcome: 'taken', receipt});
      }
    }
  }

  /** Takes note that a batch was not taken; its outcome is open, so that all is told again. */
  handleFailure(outcome: 'no-leader' | 'cut-off'): void {
    this.stamp = undefined;
    this.tellAll();
    this.rows.forEach(row => settle(row, {outcome}));
  }

  /** Whether a newer agent of the same name and target is known. */
  private isOlderAgent({id, boot, member}: RelayedHeartbeat): boolean {
    const known = this.rows.get(id);
    if (known === undefined || known.boot === boot) {
      return false;
    }
    const [held, told] = [known.member.target, member?.target];
    return held?.name === told?.name && (told?.fence ?? 0) < (held?.fence ?? 0);
  }

  private rowOf(heartbeat: RelayedHeartbeat): Row | undefined {
    const {id, boot, mark, member} = heartbeat;
    const known = this.rows.get(id);
    if (member === undefined) {
      return known?.boot === boot && known.mark === mark ? known : undefined;
    }
    if (known?.boot === boot && mark < known.mark) {
      return undefined;
    }
    const waiting = known?.boot === boot ? known.waiting : [];
    if (known !== undefined && known.boot !== boot) {
      settle(known, {outcome: 'unknown'});
      this.loads.remove(id);
    }
    const row = {boot, mark, member, heardAt: 0, told: false, waiting};
    this.rows.set(id, row);
    return row;
  }

  private dropSilent(now: number): void {
    for (const [id, row] of this.rows) {
      if (now - row.heardAt > SILENT_AFTER_MS) {
        this.drop(id);
        this.silent.push(id);
      }
    }
  }

  private told(member: Member): void {
    const row = this.rows.get(member.id);
    if (row?.member === member) {
      row.told = true;
    }
  }

  private tellAgain(id: string): void {
    const row = this.rows.get(id);
    if (row !== undefined) {
      row.told = false;
    }
  }

  private tellAll(): void {
    this.silent = [];
    this.rows.forEach(row => {
      row.told = false;
    });
  }

  private fence(id: string, boot: string): void {
    const row = this.rows.get(id);
    if (row?.boot === boot) {
      this.drop(id);
      settle(row, {outcome: 'fenced'});
    }
  }

  private drop(id: string): void {
    this.rows.delete(id);
    this.loads.remove(id);
  }
}

function settle(row: Row, answer: RelayedAnswer): void {
  const {waiting} = row;
  row.waiting = [];
  waiting.forEach(resolve => resolve(answer));
}
