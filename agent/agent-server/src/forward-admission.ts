import {setImmediate as nextTurn} from 'node:timers/promises';
import {Result} from 'true-myth';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import type {Hop} from '@marigoldspur/messages';
import {formatModel} from '@marigoldspur/settings-schema';
import type {EngineComponents} from './engine-components.js';
import {findAdapter, type AdapterLookup} from './find-adapter.js';
import {notRunRefusal, targetLeavingRefusal} from './not-run-refusal.js';

/** Options of a forward admission. */
export interface ForwardAdmissionOptions extends AdapterLookup {
  readonly events: EventLog;
  /** Absent for a plain service. */
  readonly engine?: EngineComponents;
  /** Whether control reported that a newer agent serves the target. */
  readonly isSuperseded?: () => boolean;
}

/** A pinned adapter. */
export interface PinnedAdapter {
  readonly pin: Pin;
  /** Boot ID of the engine that has the adapter loaded. */
  readonly boot: string;
}

/** Decides whether an attempt may be forwarded to the target. */
export class ForwardAdmission {
  constructor(private readonly options: ForwardAdmissionOptions) {}

  /**
   * Pins the adapter of an attempt; resolves with undefined for a plain
   * service. The wait for a load ends when the target starts to leave.
   */
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
    const {leavingSignal} = engine.monitor;
    const wait = new BoundedSignal({parentSignals: [signal, leavingSignal]});
    const pin = await engine.loader.acquire({
      ...found.value,
      model: formatModel(hop.model),
      priority: hop.priority,
      deadlineMs,
      signal: wait.signal,
    });
    wait.dispose();
    if (pin.isErr && leavingSignal.aborted) {
      return Result.err(targetLeavingRefusal());
    }
    return pin.map(held => ({pin: held, boot: engine.monitor.state.boot}));
  }

  /**
   * Returns a refusal if the attempt may not be forwarded; called immediately
   * before forwarding.
   */
  async checkBeforeForward(
    hop: Hop,
    boot: string | undefined,
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const {engine} = this.options;
    const mayForward =
      (await (engine?.leaseManager.mayForward() ?? true)) &&
      this.options.isSuperseded?.() !== true;
    // After the process was paused, a disconnect is detected only in the next
    // event loop iteration.
    await nextTurn();
    const expired = this.checkDeadline(hop, deadlineMs, signal);
    if (expired !== undefined) {
      return expired;
    }
    if (!mayForward) {
      return notRunRefusal(
        503,
        'no_lease',
        'another agent may serve the target',
      );
    }
    if (engine?.monitor.state.leaving === true) {
      return targetLeavingRefusal();
    }
    return engine !== undefined && engine.monitor.state.boot !== boot
      ? notRunRefusal(503, 'target_restarted', 'the engine restarted')
      : undefined;
  }

  /**
   * Returns a refusal if the entry has disconnected or the deadline has passed.
   */
  checkDeadline(
    hop: Hop,
    deadlineMs: number,
    signal: AbortSignal,
  ): Refusal | undefined {
    if (signal.aborted) {
      const {attempt, request} = hop;
      this.options.events.record('attempt-cancelled', {attempt}, request);
      return notRunRefusal(499, 'entry_gone', 'the entry disconnected');
    }
    return performance.now() >= deadlineMs
      ? notRunRefusal(503, 'too_late', 'the deadline of the attempt has passed')
      : undefined;
  }
}
