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

/** Identity of a heartbeat relay. */
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
  isAcknowledged: boolean;
  pendingAnswers: Array<(answer: RelayedAnswer) => void>;
}

/** Time without a heartbeat after which the relay no longer renews a member, in milliseconds. */
const SILENT_AFTER_MS = 1_500;

/**
 * Batches the heartbeats that a relay receives for the leader of control.
 *
 * A heartbeat is answered once the leader has accepted a batch that contains it, so a
 * relayed heartbeat gives the same guarantee as one sent directly to the leader.
 */
export class HeartbeatBatcher {
  private readonly rows = new Map<string, Row>();
  private silent: string[] = [];
  private stamp?: RelayStamp;
  private stampedAt = 0;
  /** Relays of the zone, as last listed by control. */
  private relays: HeartbeatReceipt['relays'];

  /** Load reports are only stored in `loads`; they are not sent to the leader. */
  constructor(
    private readonly relay: RelayIdentity,
    private readonly loads: LoadReportStore,
  ) {}

  /** Number of members that the relay renews. */
  get size(): number {
    return this.rows.size;
  }

  /** Whether there are announcements that the leader does not have yet. */
  get isUrgent(): boolean {
    return [...this.rows.values()].some(row => !row.isAcknowledged);
  }

  /** Receives a heartbeat at time `now`, in milliseconds; resolves once control has accepted it. */
  receive(heartbeat: RelayedHeartbeat, now: number): Promise<RelayedAnswer> {
    if (this.isOlderAgent(heartbeat)) {
      return Promise.resolve({outcome: 'fenced'});
    }
    const row = this.updateRow(heartbeat);
    if (row === undefined) {
      return Promise.resolve({outcome: 'unknown'});
    }
    row.heardAt = now;
    if (heartbeat.load !== undefined) {
      const {id, boot, load} = heartbeat;
      this.loads.put({id, boot, load});
    }
    return new Promise(resolve => row.pendingAnswers.push(resolve));
  }

  /** Creates the batch to send to the leader at time `now`, in milliseconds. */
  createBatch(now: number): HeartbeatBatch {
    this.dropSilent(now);
    const rows = [...this.rows.values()];
    const heardAt = Math.min(now, ...rows.map(row => row.heardAt));
    const announced = rows.filter(row => !row.isAcknowledged);
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

  /** Handles the answer to a batch created at `sentAt` and answered at `now`, both in milliseconds. */
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
      this.markAllUnacknowledged();
      return;
    }
    this.silent = this.silent.slice(batch.silent.length);
    batch.announced.forEach(member => this.markAcknowledged(member));
    answer.missing.forEach(id => this.markUnacknowledged(id));
    answer.fenced.forEach(({id, boot}) => this.fence(id, boot));
    const receipt = this.relays
      ? {...answer.receipt, relays: this.relays}
      : answer.receipt;
    for (const row of this.rows.values()) {
      if (row.isAcknowledged && row.heardAt <= sentAt) {
        resolvePending(row, {outcome: 'taken', receipt});
      }
    }
  }

  /** Handles a failed batch. Its outcome is unknown, so all members are announced again. */
  handleFailure(outcome: 'no-leader' | 'cut-off'): void {
    this.stamp = undefined;
    this.markAllUnacknowledged();
    this.rows.forEach(row => resolvePending(row, {outcome}));
  }

  /** Whether a newer agent with the same ID and target is known. */
  private isOlderAgent({id, boot, member}: RelayedHeartbeat): boolean {
    const known = this.rows.get(id);
    if (known === undefined || known.boot === boot) {
      return false;
    }
    const [held, sent] = [known.member.target, member?.target];
    return held?.name === sent?.name && (sent?.fence ?? 0) < (held?.fence ?? 0);
  }

  private updateRow(heartbeat: RelayedHeartbeat): Row | undefined {
    const {id, boot, mark, member} = heartbeat;
    const known = this.rows.get(id);
    if (member === undefined) {
      return known?.boot === boot && known.mark === mark ? known : undefined;
    }
    if (known?.boot === boot && mark < known.mark) {
      return undefined;
    }
    const pendingAnswers = known?.boot === boot ? known.pendingAnswers : [];
    if (known !== undefined && known.boot !== boot) {
      resolvePending(known, {outcome: 'unknown'});
      this.loads.remove(id);
    }
    const row = {
      boot,
      mark,
      member,
      heardAt: 0,
      isAcknowledged: false,
      pendingAnswers,
    };
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

  private markAcknowledged(member: Member): void {
    const row = this.rows.get(member.id);
    if (row?.member === member) {
      row.isAcknowledged = true;
    }
  }

  private markUnacknowledged(id: string): void {
    const row = this.rows.get(id);
    if (row !== undefined) {
      row.isAcknowledged = false;
    }
  }

  private markAllUnacknowledged(): void {
    this.silent = [];
    this.rows.forEach(row => {
      row.isAcknowledged = false;
    });
  }

  private fence(id: string, boot: string): void {
    const row = this.rows.get(id);
    if (row?.boot === boot) {
      this.drop(id);
      resolvePending(row, {outcome: 'fenced'});
    }
  }

  private drop(id: string): void {
    this.rows.delete(id);
    this.loads.remove(id);
  }
}

function resolvePending(row: Row, answer: RelayedAnswer): void {
  const {pendingAnswers} = row;
  row.pendingAnswers = [];
  pendingAnswers.forEach(resolve => resolve(answer));
}
