import {ChangeSignal} from '@marigoldspur/change-signal';
import type {SettingsDelta, SettingsView} from '@marigoldspur/control-api';
import type {ReplicatedLog} from '@marigoldspur/replicated-log';
import type {Command, CommandAnswer} from './command.js';
import type {ControlStateMachine} from './control-state-machine.js';
import {QuorumConfirmer} from './quorum-confirmer.js';

/** Longest time between two messages of a stream, in milliseconds. */
const STREAM_IDLE_MS = 1_000;

/** Gives the settings tree, and its changes as they come. */
export class SettingsPublisher {
  private readonly changed = new ChangeSignal();
  private readonly contact: QuorumConfirmer;

  constructor(
    private readonly machine: ControlStateMachine,
    private readonly log: ReplicatedLog<Command, CommandAnswer>,
  ) {
    this.contact = new QuorumConfirmer(log);
    machine.onSettingsChange(() => this.changed.notify());
  }

  /** The whole tree; a fresh one is no older than the call. */
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

  /** Waits up to `waitMs` for a newer revision. */
  async watch(revision: number, waitMs: number): Promise<SettingsDelta> {
    if (this.machine.settings.revision <= revision) {
      await this.changed.wait(waitMs);
    }
    return this.deltaAfter(revision);
  }

  /** The changes after a revision as they come; each second at least one message that a quorum confirmed. */
  async *follow(
    revision: number,
    signal: AbortSignal,
  ): AsyncGenerator<SettingsDelta> {
    const {settings} = this.machine;
    let known = revision;
    while (!signal.aborted) {
      await this.contact.confirm(performance.now());
      const confirmed = this.deltaAfter(known);
      yield {...confirmed, confirmed: true};
      known = Math.max(known, confirmed.revision);
      if (settings.revision <= known) {
        await this.changed.wait(STREAM_IDLE_MS);
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
