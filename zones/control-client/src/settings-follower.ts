import type {SettingsDelta} from '@marigoldspur/control-api';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {emptyTree, type Tree} from '@marigoldspur/settings-schema';
import {applyEdits} from '@marigoldspur/settings-tree';
import type {ControlClient} from './control-client.js';

/** The settings that a process works with. */
export interface SettingsInForce {
  readonly revision: number;
  readonly tree: Tree;
}

const WATCH_MS = 10_000;
const WATCH_SLACK_MS = 2_000;
const PAUSE_MS = 200;

/** Keeps the settings tree of a process up to date; its revision only rises. */
export class SettingsFollower {
  private current: SettingsInForce = {revision: 0, tree: emptyTree()};
  private confirmedAt = -Infinity;
  private running = true;
  private loop: Promise<void> = Promise.resolve();
  private readonly stopping = new AbortController();

  constructor(
    private readonly client: ControlClient,
    private readonly events: EventLog,
  ) {}

  /** The settings in force. */
  get settings(): SettingsInForce {
    return this.current;
  }

  /** When control last confirmed the settings, as a `performance.now()` time. */
  get lastConfirmed(): number {
    return this.confirmedAt;
  }

  /** Reads the tree confirmed by a quorum, then follows it. */
  async start(deadlineMs: number): Promise<void> {
    const fresh = await this.client.call(
      (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
      deadlineMs,
    );
    if (fresh.isErr) {
      throw fresh.error;
    }
    this.enforce(fresh.value);
    this.loop = this.follow();
  }

  /** Ends the following. */
  async stop(): Promise<void> {
    this.running = false;
    this.stopping.abort();
    await this.loop;
  }

  private async follow(): Promise<void> {
    while (this.running) {
      const deadline = performance.now() + WATCH_MS + WATCH_SLACK_MS;
      const delta = await this.client.call(
        replica =>
          replica.watchSettings.query(
            {revision: this.current.revision, waitMs: WATCH_MS},
            {
              signal: AbortSignal.any([
                this.stopping.signal,
                AbortSignal.timeout(WATCH_MS + WATCH_SLACK_MS),
              ]),
            },
          ),
        deadline,
      );
      if (delta.isOk) {
        this.take(delta.value);
      } else if (this.running) {
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
      }
    }
  }

  private take(delta: SettingsDelta): void {
    this.confirmedAt = performance.now();
    if (delta.revision <= this.current.revision) {
      return;
    }
    if (delta.tree !== undefined) {
      this.enforce({revision: delta.revision, tree: delta.tree});
      return;
    }
    for (const change of delta.changes) {
      if (change.number === this.current.revision + 1) {
        const next = applyEdits(this.current.tree, change.edits);
        if (next.isErr) {
          throw new Fault('CORRUPT_DATA', 'an accepted change does not apply');
        }
        this.enforce({revision: change.number, tree: next.value});
      }
    }
  }

  private enforce(settings: SettingsInForce): void {
    this.confirmedAt = performance.now();
    if (settings.revision > this.current.revision) {
      this.current = settings;
      this.events.record('settings-in-force', {revision: settings.revision});
    }
  }
}
