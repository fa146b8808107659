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

/** The settings that a process currently uses. */
export interface ActiveSettings {
  readonly revision: number;
  readonly tree: SettingsTree;
}

/** Called after a new settings tree has replaced the previous one. */
export type SettingsListener = (
  before: SettingsTree,
  after: SettingsTree,
) => void;

/** Options of a settings follower. */
export interface SettingsFollowerOptions {
  /** Index of the replica to follow first, for example the nearest one; random by default. */
  readonly firstReplica?: number;
}

/** Maximum number of changes kept for processes that are behind. */
const MAX_KEPT_CHANGES = 64;
/** Maximum number of edits in the kept changes; beyond it the whole tree is sent. */
const MAX_KEPT_EDITS = 1_000;
const PULL_TIMEOUT_MS = 2_000;
/** Minimum time between two pulls, so that a refused or failed pull is not repeated immediately, in milliseconds. */
const PULL_RETRY_DELAY_MS = 200;

/**
 * Keeps the settings tree of a process up to date; its revision only increases.
 *
 * It follows one replica of control over a stream and switches to another one when that
 * replica sends nothing or cannot confirm its state. It also pulls from any process with
 * a newer revision. Connect it at these places:
 *
 * - at the entry, with the revision in an agent's answer and the agent's URL:
 *   `follower.observeRevision(revision, agentUrl)`;
 * - at the agent, with the revision in the hop and the entry's URL (`hop.origin`):
 *   `follower.observeRevision(hop.revision, hop.origin)`;
 * - with the revision in the answer to a heartbeat: `follower.observeRevision(revision)`;
 * - in the `service` of the process server: `settings: revision =>
 *   follower.deltaAfter(revision)`, so that other processes can pull from this one.
 */
export class SettingsFollower {
  private current: ActiveSettings = {revision: 0, tree: createEmptyTree()};
  private confirmedAt = -Infinity;
  private recentChanges: Change[] = [];
  private isPulling = false;
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
        onMessage: message => this.handleStreamed(message),
      },
      events,
    );
  }

  /** The active settings. */
  get settings(): ActiveSettings {
    return this.current;
  }

  /** Time at which control last confirmed the settings, a `performance.now()` time. */
  get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** Calls a listener after each change of the active settings. */
  onChange(listener: SettingsListener): void {
    this.listeners.push(listener);
  }

  /**
   * Reads the tree confirmed by a quorum, then follows its changes. Throws a `Fault` if
   * no replica returns it by `deadlineMs`, a `performance.now()` time.
   */
  async start(deadlineMs: number): Promise<void> {
    const sentAt = performance.now();
    const fresh = await this.client.call(
      (replica, signal) => replica.readSettings.query({fresh: true}, {signal}),
      deadlineMs,
    );
    if (fresh.isErr) {
      throw fresh.error;
    }
    this.activate(parseMessage(SETTINGS_VIEW_SCHEMA, fresh.value));
    this.confirmedAt = sentAt;
    this.stream.start();
  }

  /** Stops following control. */
  async stop(): Promise<void> {
    await this.stream.stop();
  }

  /**
   * Notifies the follower that a process uses `revision`. If that is newer, the follower
   * pulls the settings from the process, or from control if no `url` is given.
   */
  observeRevision(revision: number, url?: string): void {
    const now = performance.now();
    if (
      revision <= this.current.revision ||
      this.isPulling ||
      now < this.nextPullAt
    ) {
      return;
    }
    this.isPulling = true;
    void this.pull(url).finally(() => {
      this.isPulling = false;
      this.nextPullAt = performance.now() + PULL_RETRY_DELAY_MS;
    });
  }

  /** Returns the delta that brings a process from `revision` to the active settings. */
  deltaAfter(revision: number): SettingsDelta {
    const {revision: latest, tree} = this.current;
    const missing = latest - revision;
    if (missing <= 0) {
      return {revision: latest, changes: []};
    }
    return missing <= this.recentChanges.length
      ? {revision: latest, changes: this.recentChanges.slice(-missing)}
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
        this.applyDelta(parseMessage(SETTINGS_DELTA_SCHEMA, delta))
      ) {
        this.events.record('settings-pulled', {
          revision: this.current.revision,
          ...(url !== undefined && {url}),
        });
      }
    } catch {
      // The next observed newer revision triggers another pull.
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

  private handleStreamed(delta: SettingsDelta): void {
    this.applyDelta(delta);
    if (delta.confirmed && delta.revision >= this.current.revision) {
      this.confirmedAt = performance.now();
    }
  }

  /** Applies a delta; returns false if it is not newer. */
  private applyDelta(delta: SettingsDelta): boolean {
    const before = this.current.revision;
    if (delta.revision <= before) {
      return false;
    }
    if (delta.tree !== undefined) {
      this.recentChanges = [];
      this.activate({revision: delta.revision, tree: delta.tree});
      return true;
    }
    const newChanges = delta.changes.filter(change => change.number > before);
    const isConsecutive = newChanges.every(
      (change, index) => change.number === before + 1 + index,
    );
    if (!isConsecutive || newChanges.length !== delta.revision - before) {
      throw new Fault(
        'CORRUPT_DATA',
        'the delta does not continue from the active revision',
      );
    }
    const next = applyEdits(
      this.current.tree,
      newChanges.flatMap(change => change.edits),
    );
    if (next.isErr) {
      throw new Fault('CORRUPT_DATA', 'an accepted change cannot be applied');
    }
    this.keepChanges(newChanges);
    this.activate({revision: delta.revision, tree: next.value});
    return true;
  }

  private keepChanges(changes: readonly Change[]): void {
    this.recentChanges = [...this.recentChanges, ...changes].slice(
      -MAX_KEPT_CHANGES,
    );
    let edits = 0;
    const lastDropped = this.recentChanges.findLastIndex(change => {
      edits += change.edits.length;
      const isReplacement = change.edits.some(edit => edit.edit === 'replace');
      return isReplacement || edits > MAX_KEPT_EDITS;
    });
    this.recentChanges = this.recentChanges.slice(lastDropped + 1);
  }

  private activate(settings: ActiveSettings): void {
    const {revision, tree} = this.current;
    if (settings.revision > revision) {
      this.current = settings;
      this.events.record('settings-in-force', {revision: settings.revision});
      this.listeners.forEach(listener => listener(tree, settings.tree));
    }
  }
}
