import type {Snapshot} from './entry.js';
import type {MessageOf} from './messages.js';

/** A snapshot that is partly received. */
interface PartialSnapshot {
  readonly from: string;
  readonly term: number;
  readonly index: number;
  readonly parts: string[];
  received: number;
}

/** Assembles the parts of a snapshot, in order and without gaps. */
export class SnapshotReceiver {
  private incoming: PartialSnapshot | undefined;

  /**
   * Adds a part; returns the snapshot once it is complete. Out-of-order parts are
   * ignored.
   */
  addPart(part: MessageOf<'snapshot-part'>): Snapshot | undefined {
    if (!this.belongsToIncoming(part)) {
      this.incoming = {
        from: part.from,
        term: part.term,
        index: part.index,
        parts: [],
        received: 0,
      };
    }
    const incoming = this.incoming!;
    if (part.offset === incoming.received) {
      incoming.parts.push(part.data);
      incoming.received += part.data.length;
    }
    if (incoming.received < part.total) {
      return undefined;
    }
    this.incoming = undefined;
    return {
      index: part.index,
      term: part.snapshotTerm,
      configuration: part.configuration,
      data: incoming.parts.join(''),
    };
  }

  /** Number of contiguous characters received so far. */
  get received(): number {
    return this.incoming?.received ?? 0;
  }

  private belongsToIncoming(part: MessageOf<'snapshot-part'>): boolean {
    return (
      this.incoming !== undefined &&
      this.incoming.from === part.from &&
      this.incoming.term === part.term &&
      this.incoming.index === part.index
    );
  }
}
