import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {EngineClient, EngineListing} from '@marigoldspur/target-client';

/** Reads what an engine holds, and keeps the digests that it reported last. */
export class ResidentAdapters {
  private digests: ReadonlyMap<string, string | undefined> = new Map();
  private asked = 0;
  private taken = 0;

  constructor(private readonly engine: Pick<EngineClient, 'resident'>) {}

  /** The adapters that the engine says it holds, as `adapter@version`. */
  async read(): Promise<Result<EngineListing<string>, Fault>> {
    this.asked += 1;
    const number = this.asked;
    const listing = await this.engine.resident();
    return listing.map(({boot, items}) => {
      // A listing that was asked for earlier may come later.
      if (number > this.taken) {
        this.taken = number;
        this.digests = new Map(items.map(({id, digest}) => [id, digest]));
      }
      return {boot, items: items.map(({id}) => id)};
    });
  }

  /** Whether the engine reported other weights for an adapter than `digest` names. */
  differs(model: string, digest: string): boolean {
    const held = this.digests.get(model);
    return held !== undefined && held !== digest;
  }
}
