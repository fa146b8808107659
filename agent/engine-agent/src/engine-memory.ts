import type {ModelMemory} from '@marigoldspur/deployment';

type ModelSize = ModelMemory['models'][number];

/** Memory of an engine for weights and adapters, and the sizes of models, in megabytes. */
export class EngineMemory {
  private readonly sizes = new Map<string, ModelSize>();
  private capacity = Infinity;

  /** Memory for weights and adapters together. */
  get capacityMb(): number {
    return this.capacity;
  }

  /** Applies what an entry states; drops the sizes of models that neither it nor `held` names. */
  update({capacityMb, models}: ModelMemory, held: ReadonlySet<string>): void {
    this.capacity = capacityMb;
    const stated = new Set(models.map(({name}) => name));
    for (const name of this.sizes.keys()) {
      if (!held.has(name) && !stated.has(name)) {
        this.sizes.delete(name);
      }
    }
    models.forEach(model => this.sizes.set(model.name, model));
  }

  /** Size of a model's weights; infinite if no entry has stated it. */
  weightsMb(model: string): number {
    return this.sizes.get(model)?.weightsMb ?? Infinity;
  }

  /** Size of an adapter, named `model/adapter`; infinite if no entry has stated it. */
  adapterMb(name: string): number {
    return this.sizes.get(name.split('/')[0])?.adapterMb ?? Infinity;
  }
}
