import {
  SETTINGS_DELTA_SCHEMA,
  SETTINGS_VIEW_SCHEMA,
  type SettingsDelta,
} from '@marigoldspur/control-api';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {
  createEmptyTree,
  type Change,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {applyEdits} from '@marigoldspur/settings-tree';
import {parseMessage} from './parse-message.js';
import type {ControlClient} from './control-client.js';
import {StreamFollower} from './stream-follower.js';

/** The settings that a process works with. */
export interface ActiveSettings {
  readonly revision: number;
  readonly tree: SettingsTree;
}

/** Called after settings came into force in place of others. */
export type SettingsListener = (
  before: SettingsTree,
  after: SettingsTree,
) => void;

/** Options of a settings follower. */
export interface SettingsFollowerOptions {
  /** Position of the replica to follow first, as the nearest; any one without it. */
  readonly firstReplica?: number;
}

/** Changes kept to give to processes that are behind. */
const KEPT_CHANGES = 64;
/** Edits of the kept changes; past them the whole tree is given. */
const KEPT_EDITS = 1_000;
const PULL_TIMEOUT_MS = 2_000;
/** Before this pause a refused or failed pull is not tried again, in milliseconds. */
const PULL_PAUSE_MS = 200;

/**
 * Keeps the settings tree of a process up to date; its revision only rises.
 *
 * It follows one replica of control on a stream and turns to another when that one
 * falls silent or can't confirm its state. Besides, it pulls from any process that is
 * seen ahead: wire it so where requests and heartbeats pass:
 *
 * - at the entry, with the revision in an agent's answer and the agent's URL:
 *   `follower.heard(revision, agentUrl)`;
 * - at the agent, with the revision in the hop and the entry's URL (`hop.origin`):
 *   `follower.heard(hop.revision, hop.origin)`;
 * - with the revision in the answer to a heartbeat: `follower.heard(revision)`;
 * - in the `service` of the process server: `settings: revision =>
 *   follower.deltaAfter(revision)`, so that others can pull from this process.
 */
export class SettingsFollower {
  private current: ActiveSettings = {revision: 0, tree: createEmptyTree()};
  private confirmedAt = -Infinity;
  private recent: Change[] = [];
  private pulling = false;
  private nextPullAt = -Infinity;
  private readonly stream: StreamFollower<SettingsDelta>;
  private readonly listeners: SettingsListener[] = [];

  constructor(
    private readonly client: ControlClient,
    private readonly events: EventLog,
    options: SettingsFollowerOptions = {},
  ) {
    this.stream = new StreamFollower(
      client,
      {
        ...options,
        procedure: 'followSettings',
        input: () => ({revision: this.current.revision}),
        schema: SETTINGS_DELTA_SCHEMA,
        onMessage: message => this.takeStreamed(message),
      },
      events,
    );
  }

  /** The settings in force. */
  get settings(): ActiveSettings {
    return this.current;
  }

  /** When control last confirmed the settings, as a `performance.now()` time. */
  get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** Calls a listener at each change of the settings in force. */
  onChange(listener: SettingsListener): void {
    this.listeners.push(listener);
  }

  /** Reads the tree confirmed by a quorum, then follows it. */
  async start(deadlineMs: number): Promise<void> {
    const sentAt = performance.now();
    const fresh = await this.client.call(
      (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
      deadlineMs,
    );
    if (fresh.isErr) {
      throw fresh.error;
    }
    this.enforce(parseMessage(SETTINGS_VIEW_SCHEMA, fresh.value));
    this.confirmedAt = sentAt;
    this.stream.start();
  }

  /** Ends the following. */
  async stop(): Promise<void> {
    await this.stream.stop();
  }

  /**
   * Takes note that a process has `revision` in force. Where that is ahead, pulls the
   * newer settings from it, or from control where no `url` is given.
   */
  observeRevision(revision: number, url?: string): void {
    const now = performance.now();
    if (
      revision <= this.current.revision ||
      this.pulling ||
      now < this.nextPullAt
    ) {
      return;
    }
    this.pulling = true;
    void this.pull(url).finally(() => {
      this.pulling = false;
      this.nextPullAt = performance.now() + PULL_PAUSE_MS;
    });
  }

  /** What a process at `revision` needs to reach the settings in force here. */
  deltaAfter(revision: number): SettingsDelta {
    const {revision: latest, tree} = this.current;
    const missing = latest - revision;
    if (missing <= 0) {
      return {revision: latest, changes: []};
    }
    return missing <= this.recent.length
      ? {revision: latest, changes: this.recent.slice(-missing)}
      : {revision: latest, tree, changes: []};
  }

  private async pull(url: string | undefined): Promise<void> {
    const {revision} = this.current;
    const signal = AbortSignal.timeout(PULL_TIMEOUT_MS);
    try {
      const delta =
        url === undefined
          ? await this.pullFromControl(revision)
          : await this.client.process(url).settings.query({revision}, {signal});
      if (
        delta !== undefined &&
        this.take(parseMessage(SETTINGS_DELTA_SCHEMA, delta))
      ) {
        this.events.record('settings-pulled', {
          revision: this.current.revision,
          ...(url !== undefined && {url}),
        });
      }
    } catch {
      // The next one ahead that is heard of is asked.
    }
  }

  private async pullFromControl(
    revision: number,
  ): Promise<SettingsDelta | undefined> {
    const delta = await this.client.call(
      (replica, signal) =>
        replica.watchSettings.query({revision, waitMs: 0}, {signal}),
      performance.now() + PULL_TIMEOUT_MS,
    );
    return delta.unwrapOr(undefined as SettingsDelta | undefined);
  }

  private takeStreamed(delta: SettingsDelta): void {
    this.take(delta);
    if (delta.confirmed && delta.revision >= this.current.revision) {
      this.confirmedAt = performance.now();
    }
  }

  /** Puts a delta in force; false where it brings nothing newer. */
  private take(delta: SettingsDelta): boolean {
    const before = this.current.revision;
    if (delta.revision <= before) {
      return false;
    }
    if (delta.tree !== undefined) {
      this.recent = [];
      this.enforce({revision: delta.revision, tree: delta.tree});
      return true;
    }
    const news = delta.changes.filter(change => change.number > before);
    const follows = news.every(
      (change, index) => change.number === before + 1 + index,
    );
    if (!follows || news.length !== delta.revision - before) {
      throw new Fault('CORRUPT_DATA', 'a delta does not follow the settings');
    }
    const next = applyEdits(
      this.current.tree,
      news.flatMap(change => change.edits),
    );
    if (next.isErr) {
      throw new Fault('CORRUPT_DATA', 'an accepted change does not apply');
    }
    this.remember(news);
    this.enforce({revision: delta.revision, tree: next.value});
    return true;
  }

  private remember(changes: readonly Change[]): void {
    this.recent = [...this.recent, ...changes].slice(-KEPT_CHANGES);
    let edits = 0;
    const tooOld = this.recent.findLastIndex(change => {
      edits += change.edits.length;
      const isWhole = change.edits.some(edit => edit.edit === 'replace');
      return isWhole || edits > KEPT_EDITS;
    });
    this.recent = this.recent.slice(tooOld + 1);
  }

  private enforce(settings: ActiveSettings): void {
    const {revision, tree} = this.current;
    if (settings.revision > revision) {
      this.current = settings;
      this.events.record('settings-in-force', {revision: settings.revision});
      this.listeners.forEach(listener => listener(tree, settings.tree));
    }
  }
}
