import {setImmediate as nextTurn} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import type {Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import type {EngineComponents} from './engine-components.js';
import {findAdapter, type AdapterLookup} from './find-adapter.js';
import {notRunRefusal} from './not-run-refusal.js';

/** What a forward gate works with. */
export interface ForwardAdmissionOptions extends AdapterLookup {
  readonly events: EventLog;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
  /** Whether control said that a newer agent serves the target. */
  readonly superseded?: () => boolean;
}

/** A pinned adapter. */
export interface PinnedAdapter {
  readonly pin: Pin;
  /** Boot of the engine that holds it. */
  readonly boot: string;
}

/** Decides at the moment of forwarding whether an attempt may go to the target. */
export class ForwardAdmission {
  constructor(private readonly options: ForwardAdmissionOptions) {}

  /** Pins the attempt's adapter, with the boot that holds it; undefined for a plain service. */
  async pinAdapter(
    hop: Hop,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<PinnedAdapter | undefined, Refusal>> {
    const {engine} = this.options;
    if (engine === undefined || hop.model === undefined) {
      return Result.ok(undefined);
    }
    const found = await findAdapter(hop, hop.model, this.options);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const pin = await engine.host.acquire({
      ...found.value,
      model: formatModel(hop.model),
      priority: hop.priority,
      deadlineMs,
      signal,
    });
    return pin.map(held => ({pin: held, boot: engine.watch.state.boot}));
  }

  /** What speaks against forwarding at this moment. */
  async checkBeforeForward(
    hop: Hop,
    boot: string | undefined,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const {engine} = this.options;
    const mayForward =
      (await (engine?.keeper.mayForward() ?? true)) &&
      this.options.superseded?.() !== true;
    // After a pause of the process the end of the link is read in the next turn.
    await nextTurn();
    const checkDeadline = this.overdue(hop, deadlineMs, signal);
    if (checkDeadline !== undefined) {
      return checkDeadline;
    }
    if (!mayForward) {
      return notRunRefusal(
        503,
        'no_lease',
        'another agent may serve the target',
      );
    }
    return engine !== undefined && engine.watch.state.boot !== boot
      ? notRunRefusal(503, 'target_restarted', 'the engine restarted')
      : undefined;
  }

  /** What speaks against an attempt that its entry gave up, or may have. */
  overdue(
    hop: Hop,
    deadlineMs: number,
    signal: AbortSignal,
  ): Refusal | undefined {
    if (signal.aborted) {
      const {attempt, request} = hop;
      this.options.events.record('attempt-cancelled', {attempt}, request);
      return notRunRefusal(499, 'entry_gone', 'the entry went away');
    }
    return performance.now() >= deadlineMs
      ? notRunRefusal(503, 'too_late', 'the time for the attempt is over')
      : undefined;
  }
}
