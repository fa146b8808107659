import type {Member, MembersDelta} from '@marigoldspur/messages';
import type {ControlClient} from './control-client.js';

const WATCH_MS = 10_000;
const WATCH_SLACK_MS = 2_000;
const PAUSE_MS = 200;

/** Keeps a process's copy of the member table up to date. */
export class MemberFollower {
  private readonly rows = new Map<string, Member>();
  private table = '';
  private version = 0;
  private running = true;
  private loop: Promise<void> = Promise.resolve();
  private readonly stopping = new AbortController();

  constructor(private readonly client: ControlClient) {}

  /** The members known now. */
  members(): Member[] {
    return [...this.rows.values()];
  }

  /** The member with an identity. */
  member(id: string): Member | undefined {
    return this.rows.get(id);
  }

  start(): void {
    this.loop = this.follow();
  }

  async stop(): Promise<void> {
    this.running = false;
    this.stopping.abort();
    await this.loop;
  }

  private async follow(): Promise<void> {
    while (this.running) {
      const delta = await this.client.call(
        replica =>
          replica.watchMembers.query(
            {table: this.table, version: this.version, waitMs: WATCH_MS},
            {
              signal: AbortSignal.any([
                this.stopping.signal,
                AbortSignal.timeout(WATCH_MS + WATCH_SLACK_MS),
              ]),
            },
          ),
        performance.now() + WATCH_MS + WATCH_SLACK_MS,
      );
      if (delta.isOk) {
        this.take(delta.value);
      } else if (this.running) {
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
      }
    }
  }

  private take(delta: MembersDelta): void {
    if (delta.whole) {
      this.rows.clear();
    }
    delta.changed.forEach(member => this.rows.set(member.id, member));
    delta.removed.forEach(id => this.rows.delete(id));
    this.table = delta.table;
    this.version = delta.version;
  }
}
