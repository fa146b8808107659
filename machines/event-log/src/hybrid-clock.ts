/** A point in hybrid logical time. */
export interface HybridTime {
  /** Milliseconds since the epoch. */
  readonly time: number;
  /** Order within one millisecond. */
  readonly tick: number;
}

/** Hybrid logical clock (Kulkarni et al., 2014): close to wall time, and causally ordered across messages. */
export class HybridClock {
  private time = 0;
  private tick = 0;

  /** Returns the time of a local event at wall time `now`, in milliseconds. */
  advance(now: number): HybridTime {
    if (now > this.time) {
      this.time = now;
      this.tick = 0;
    } else {
      this.tick += 1;
    }
    return {time: this.time, tick: this.tick};
  }

  /** Advances the clock past the time of a received message. */
  observe(remote: HybridTime, now: number): HybridTime {
    if (remote.time > this.time && remote.time > now) {
      this.time = remote.time;
      this.tick = remote.tick + 1;
      return {time: this.time, tick: this.tick};
    }
    if (remote.time === this.time) {
      this.tick = Math.max(this.tick, remote.tick);
    }
    return this.advance(now);
  }
}

/** Formats a hybrid time as a header value. */
export function formatHybridTime(time: HybridTime): string {
  return `${time.time}.${time.tick}`;
}

/** Parses a hybrid time from a header value; undefined if it is malformed. */
export function parseHybridTime(text: unknown): HybridTime | undefined {
  const match = /^(\d{1,15})\.(\d{1,9})$/.exec(String(text));
  if (match === null) {
    return undefined;
  }
  return {time: Number(match[1]), tick: Number(match[2])};
}
