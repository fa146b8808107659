import {
  MAX_STREAM_ORIGINS,
  type StreamOrigin,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

interface DatedOrigin {
  readonly origin: StreamOrigin;
  /** When the first event arrived, in milliseconds. */
  readonly at: number;
}

/** Time for which the origin of a stream is remembered, in milliseconds. */
const RETENTION_MS = 60_000;
/** Maximum number of streams that are remembered; the oldest are dropped first. */
const MAX_ORIGINS = 262_144;
/**
 * Time in which a new start of a target becomes known, in milliseconds. First events that came
 * later than this before it may be from the new process.
 */
const RESTART_DETECTION_MS = 1_500;

/** Remembers which target sent the first event of each stream, by the ID of the call. */
export class StreamOriginLedger {
  /** Origins by call, the oldest first. */
  private readonly origins = new Map<string, DatedOrigin>();

  /**
   * Adds origins at time `now`, in milliseconds; returns those that are new. One whose version
   * is not known for certain replaces a known one of the same call.
   */
  add(origins: readonly StreamOrigin[], now: number): StreamOrigin[] {
    const added = origins.filter(origin => {
      const known = this.origins.get(origin.call);
      const isRetracted =
        known?.origin.softwareVersion !== undefined &&
        origin.softwareVersion === undefined;
      if (known !== undefined && !isRetracted) {
        return false;
      }
      this.origins.set(origin.call, {origin, at: now - origin.ageMs});
      return true;
    });
    this.removeExpired(now);
    return added;
  }

  /** Returns the origin of the stream that a call began; undefined if it is not known. */
  find(call: string): StreamOrigin | undefined {
    return this.origins.get(call)?.origin;
  }

  /** Returns the newest origins, with their ages at time `now`. */
  newest(now: number): StreamOrigin[] {
    this.removeExpired(now);
    return [...this.origins.values()]
      .slice(-MAX_STREAM_ORIGINS)
      .map(({at, origin}) => ({...origin, ageMs: Math.max(0, now - at)}));
  }

  /**
   * Makes the versions of the last streams of a target uncertain after it has started anew
   * under its ID; returns their origins.
   */
  retractLast({bornAt, id}: TargetIncarnation, now: number): StreamOrigin[] {
    const retracted: StreamOrigin[] = [];
    for (const [call, {at, origin}] of this.origins) {
      if (
        origin.id === id &&
        origin.bornAt < bornAt &&
        now - at <= RESTART_DETECTION_MS
      ) {
        const uncertain = {...origin, softwareVersion: undefined};
        this.origins.set(call, {origin: uncertain, at});
        retracted.push({...uncertain, ageMs: now - at});
      }
    }
    return retracted;
  }

  private removeExpired(now: number): void {
    for (const [call, {at}] of this.origins) {
      if (now - at <= RETENTION_MS && this.origins.size <= MAX_ORIGINS) {
        return;
      }
      this.origins.delete(call);
    }
  }
}
