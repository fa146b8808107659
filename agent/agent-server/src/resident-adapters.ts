import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';
import type {EngineClient, EngineListing} from '@marigoldspur/engine-client';

/**
 * Reads the resident adapters of an engine and stores the digests that it last
 * reported.
 */
export class ResidentAdapters {
  private digests: ReadonlyMap<string, string | undefined> = new Map();
  private requestCount = 0;
  private latestRequest = 0;

  constructor(private readonly engine: Pick<EngineClient, 'listAdapters'>) {}

  /**
   * Lists the adapters that the engine reports as resident, as
   * `adapter@version`.
   */
  async read(): Promise<Result<EngineListing<string>, Fault>> {
    this.requestCount += 1;
    const number = this.requestCount;
    const listing = await this.engine.listAdapters();
    return listing.map(({boot, items}) => {
      // Responses may arrive out of order.
      if (number > this.latestRequest) {
        this.latestRequest = number;
        this.digests = new Map(items.map(({id, digest}) => [id, digest]));
      }
      return {boot, items: items.map(({id}) => id)};
    });
  }

  /**
   * Whether the engine reported a digest for an adapter that differs from
   * `digest`.
   */
  hasDifferentDigest(model: string, digest: string): boolean {
    const reported = this.digests.get(model);
    return reported !== undefined && reported !== digest;
  }
}
