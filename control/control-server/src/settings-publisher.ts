import {ChangeSignal} from '@marigoldspur/change-signal';
import type {SettingsDelta, SettingsView} from '@marigoldspur/control-api';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Command, CommandAnswer} from './command.js';
import type {ControlStateMachine} from './control-state-machine.js';
import {QuorumConfirmer} from './quorum-confirmer.js';

/** Maximum time between two messages of a stream, in milliseconds. */
const MAX_MESSAGE_INTERVAL_MS = 1_000;

/** Serves the settings tree and streams its changes. */
export class SettingsPublisher {
  private readonly changed = new ChangeSignal();
  private readonly quorumConfirmer: QuorumConfirmer;

  constructor(
    private readonly machine: ControlStateMachine,
    private readonly log: ReplicatedLog<Command, CommandAnswer>,
  ) {
    this.quorumConfirmer = new QuorumConfirmer(log);
    machine.onSettingsChange(() => this.changed.notify());
  }

  /** Returns the whole tree. With `fresh` it is no older than the call. */
  async read(fresh: boolean): Promise<SettingsView> {
    if (fresh) {
      const barrier = await this.log.readBarrier();
      if (barrier.isErr) {
        throw barrier.error;
      }
    }
    const {revision, tree} = this.machine.settings;
    return {revision, tree};
  }

  /** Waits up to `waitMs` for a newer revision and returns the delta. */
  async watch(revision: number, waitMs: number): Promise<SettingsDelta> {
    if (this.machine.settings.revision <= revision) {
      await this.changed.wait(waitMs);
    }
    return this.deltaAfter(revision);
  }

  /** Streams the changes after a revision, with a message confirmed by a quorum at least every second. */
  async *follow(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<SettingsDelta> {
    const {settings} = this.machine;
    let known = revision;
    while (!signal.aborted) {
      await this.quorumConfirmer.confirm(performance.now());
      const confirmed = this.deltaAfter(known);
      yield {...confirmed, confirmed: true};
      known = Math.max(known, confirmed.revision);
      if (settings.revision <= known) {
        await this.changed.wait(MAX_MESSAGE_INTERVAL_MS);
      }
      while (settings.revision > known && !signal.aborted) {
        const delta = this.deltaAfter(known);
        yield delta;
        known = delta.revision;
      }
    }
  }

  private deltaAfter(revision: number): SettingsDelta {
    const {settings} = this.machine;
    const changes = settings.changesAfter(revision);
    if (changes !== undefined) {
      return {revision: settings.revision, changes};
    }
    return settings.revision < revision
      ? {revision: settings.revision, changes: []}
      : {revision: settings.revision, tree: settings.tree, changes: []};
  }
}
