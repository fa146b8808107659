import type {
  EngineCapacity,
  EngineView,
  ModelMemory,
} from '@marigoldspur/deployment';

/** The model that a call asks for. */
export interface RequestedModel {
  readonly model: string;
  /** Absent if the base model itself is requested. */
  readonly adapter?: string;
}

/**
 * Whether an engine can get the model of a call: it holds it or has the memory for it, also if
 * nothing is known about it (`free`), it has the memory once it has unloaded models that no call
 * uses (`after-unload`), or calls use models that leave too little memory (`none`).
 */
export type ModelRoom = 'free' | 'after-unload' | 'none';

/** Whether an engine with the state `view` can get the model of a call. */
export function modelRoomOf(
  engine: EngineCapacity | undefined,
  view: EngineView | undefined,
  {adapter, model}: RequestedModel,
): ModelRoom {
  if (engine?.memoryMb === undefined || view === undefined) {
    return 'free';
  }
  if (view.models.includes(model)) {
    return 'free';
  }
  const {memoryMb} = engine;
  const weightsMb = (name: string) => findModel(engine, name)?.weightsMb ?? 0;
  const adapterMb = findModel(engine, model)?.adapterMb ?? 0;
  const neededMb = weightsMb(model) + (adapter === undefined ? 0 : adapterMb);
  const unused = new Set(view.unusedModels);
  let heldMb = 0;
  let unusedMb = 0;
  for (const name of view.models) {
    const sizeMb = weightsMb(name);
    heldMb += sizeMb;
    unusedMb += unused.has(name) ? sizeMb : 0;
  }
  if (heldMb + neededMb <= memoryMb) {
    return 'free';
  }
  return heldMb - unusedMb + neededMb <= memoryMb ? 'after-unload' : 'none';
}

/** Returns an engine's memory with the sizes of the named models; undefined if none is stated. */
export function modelMemoryOf(
  engine: EngineCapacity | undefined,
  names: Iterable<string>,
): ModelMemory | undefined {
  if (engine?.memoryMb === undefined) {
    return undefined;
  }
  const models = [...new Set(names)]
    .map(name => findModel(engine, name))
    .filter(model => model !== undefined)
    .map(({adapterMb = 0, name, weightsMb = 0}) => ({
      name,
      weightsMb,
      adapterMb,
    }));
  return {capacityMb: engine.memoryMb, models};
}

function findModel({models}: EngineCapacity, name: string) {
  return models.find(model => model.name === name);
}
