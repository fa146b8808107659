import fc from 'fast-check';
import type {Boundary, FuzzedSystem, FuzzMessage} from './boundary.js';

/** Options of a search. */
export interface FuzzOptions {
  readonly seed: number;
  /** Number of series of messages. */
  readonly runs: number;
  /** Names of the boundaries that get messages; all of them if absent. */
  readonly boundaries?: readonly string[];
  /** Where a reported failure is among the series of its seed, to play it alone. */
  readonly path?: string;
  /** Time for making a failing series smaller, in milliseconds. */
  readonly shrinkMs?: number;
}

/** A series of messages that broke the system. */
export interface FuzzFailure {
  readonly messages: readonly FuzzMessage[];
  /** What was wrong after them. */
  readonly faults: readonly string[];
  /** What replays it together with the seed. */
  readonly path: string;
}

/** What a search did. */
export interface FuzzReport {
  readonly seed: number;
  /** Number of messages of each boundary. */
  readonly counts: ReadonlyMap<string, number>;
  readonly failure?: FuzzFailure;
}

const MAX_SERIES = 8;
const DEFAULT_SHRINK_MS = 60_000;

/**
 * Plays series of messages at the boundaries of a system until one breaks it, which is then made
 * smaller.
 */
export async function fuzzBoundaries(
  system: FuzzedSystem,
  {boundaries, path, runs, seed, shrinkMs = DEFAULT_SHRINK_MS}: FuzzOptions,
): Promise<FuzzReport> {
  const player = new SeriesPlayer(system, shrinkMs);
  const chosen = system.boundaries.filter(
    ({name}) => boundaries?.includes(name) ?? true,
  );
  const property = fc.asyncProperty(
    fc.array(createMessages(chosen), {
      minLength: 1,
      maxLength: MAX_SERIES,
    }),
    messages => player.play(messages),
  );
  const details = await fc.check(property, {
    ...{seed, numRuns: runs},
    ...(path !== undefined && {path, endOnFailure: true}),
  });
  const {counterexample, counterexamplePath} = details;
  if (counterexample === null || counterexamplePath === null) {
    return {seed, counts: player.counts};
  }
  const [messages] = counterexample;
  const {faults} = player;
  const failure = {messages, faults, path: counterexamplePath};
  return {seed, counts: player.counts, failure};
}

/** Generates messages of all boundaries. */
function createMessages(
  boundaries: readonly Boundary[],
): fc.Arbitrary<FuzzMessage> {
  return fc.oneof(
    ...boundaries.map(({contents, name, weight}) => ({
      weight,
      arbitrary: contents.map(content => ({boundary: name, content})),
    })),
  );
}

/** Plays series of messages on a system. */
class SeriesPlayer {
  readonly counts = new Map<string, number>();
  /** What was wrong after the last series that broke the system. */
  faults: readonly string[] = [];
  private shrinksUntil = Infinity;

  constructor(
    private readonly system: FuzzedSystem,
    private readonly shrinkMs: number,
  ) {}

  /** Plays a series; resolves to whether the system is sound after it. */
  async play(messages: readonly FuzzMessage[]): Promise<boolean> {
    if (performance.now() > this.shrinksUntil) {
      return true;
    }
    const faults: string[] = [];
    for (const {boundary, content} of messages) {
      this.counts.set(boundary, (this.counts.get(boundary) ?? 0) + 1);
      const played = this.system.boundaries.find(({name}) => name === boundary);
      faults.push(...((await played?.play(content)) ?? []));
    }
    faults.push(...(await this.system.findFaults()));
    if (faults.length === 0) {
      return true;
    }
    this.faults = faults;
    this.shrinksUntil = Math.min(
      this.shrinksUntil,
      performance.now() + this.shrinkMs,
    );
    await this.system.restore();
    return false;
  }
}
