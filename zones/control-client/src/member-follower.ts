import {EventLog} from '@marigoldspur/event-log';
import {
  MEMBERS_DELTA_SCHEMA,
  type Member,
  type MembersDelta,
} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';
import {StreamFollower} from './stream-follower.js';

/**
 * Keeps a process's copy of the member table up to date.
 *
 * After a leader change the new table starts empty. Until it is complete, members of the
 * earlier table are kept.
 */
export class MemberFollower {
  private readonly rows = new Map<string, Member>();
  /** Members of an earlier table that the new one does not contain yet. */
  private readonly unconfirmed = new Set<string>();
  private table = '';
  private version = 0;
  private readonly stream: StreamFollower<MembersDelta>;

  constructor(
    client: ControlClient,
    events: EventLog = new EventLog({process: 'member-follower'}),
  ) {
    this.stream = new StreamFollower(
      client,
      {
        procedure: 'followMembers',
        input: () => ({table: this.table, version: this.version}),
        schema: MEMBERS_DELTA_SCHEMA,
        onMessage: message => this.applyDelta(message),
      },
      events,
    );
  }

  /** Returns the current members. */
  members(): Member[] {
    return [...this.rows.values()];
  }

  /** Returns the member with an ID. */
  member(id: string): Member | undefined {
    return this.rows.get(id);
  }

  /** Starts following the member table until `stop` is called. */
  start(): void {
    this.stream.start();
  }

  async stop(): Promise<void> {
    await this.stream.stop();
  }

  /** Applies a delta of the member table. */
  applyDelta(delta: MembersDelta): void {
    if (delta.whole) {
      for (const id of this.rows.keys()) {
        this.unconfirmed.add(id);
      }
    }
    for (const member of delta.changed) {
      this.rows.set(member.id, member);
      this.unconfirmed.delete(member.id);
    }
    for (const id of delta.removed) {
      this.drop(id);
    }
    if (delta.complete) {
      this.unconfirmed.forEach(id => this.drop(id));
    }
    this.table = delta.table;
    this.version = delta.version;
  }

  private drop(id: string): void {
    this.rows.delete(id);
    this.unconfirmed.delete(id);
  }
}
