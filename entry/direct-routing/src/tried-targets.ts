import type {Result} from 'true-myth';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import type {Refusal} from '@marigoldspur/faults';
import {ADAPTER_MISSING} from './attempt-failure-recorder.js';

type FoundTarget = Result<TargetAnnouncement, Refusal>;

/** Reasons for which no target is found although one that lacked the adapter may serve the call. */
const ROOM_REASONS: ReadonlySet<string> = new Set([
  'no_target',
  'no_model_memory',
  'memory_full',
]);

/** The targets that did not serve earlier attempts of a call. */
export class TriedTargets {
  /** Whether each target only lacked the adapter of the call, by ID. */
  private readonly lackedAdapter: Map<string, boolean>;

  /** Starts with the targets that others have tried, if any. */
  constructor(others?: TriedTargets) {
    this.lackedAdapter = new Map(others?.lackedAdapter);
  }

  /** IDs of those that must not be used again. */
  get unusableIds(): ReadonlySet<string> {
    const entries = [...this.lackedAdapter];
    return new Set(entries.filter(([, lacked]) => !lacked).map(([id]) => id));
  }

  /** Adds a target that is tried, or tells why it refused the attempt. */
  add(id: string, refusal?: Refusal): void {
    this.lackedAdapter.set(id, refusal?.reason === ADAPTER_MISSING);
  }

  remove(id: string): void {
    this.lackedAdapter.delete(id);
  }

  /**
   * Finds a target with `search`, which gets the IDs that it leaves out. One that only lacked the
   * adapter is used again, and may load it, if no other one has room.
   */
  async find(
    search: (excluded: ReadonlySet<string>) => Promise<FoundTarget>,
  ): Promise<FoundTarget> {
    const found = await search(new Set(this.lackedAdapter.keys()));
    const isRoomMissing = found.isErr && ROOM_REASONS.has(found.error.reason);
    const lackedAny = [...this.lackedAdapter.values()].includes(true);
    return isRoomMissing && lackedAny ? search(this.unusableIds) : found;
  }
}
