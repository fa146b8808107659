import {
  evictableAdapters,
  unusedModels,
  type PlanInput,
  type RequestedAdapter,
} from './plan-input.js';

/**
 * How an engine gets the memory for a requested adapter and its model:
 *
 * - `free`: the memory is free.
 * - `unload-adapter`, `unload-model`: something that no call uses is unloaded first.
 * - `wait`: a model is being unloaded, or adapters that calls use leave enough memory once the
 *   calls have ended.
 * - `none`: models that calls use take the memory, or a size is not known.
 */
export type RoomPlan =
  | {readonly kind: 'free' | 'unload-adapter' | 'wait' | 'none'}
  | {readonly kind: 'unload-model'; readonly model: string};

/** Plans the memory for a requested adapter and, if the engine lacks it, for its model. */
export function planRoom(
  input: PlanInput,
  requested: RequestedAdapter,
  now: number,
): RoomPlan {
  const {accepted, leavingModels, loadingModels, memory, state} = input;
  if (memory === undefined) {
    return {kind: 'free'};
  }
  const loading = new Set([...state.loading, ...accepted]);
  const models = new Set([...state.models, ...loadingModels]);
  const adapters = new Set([...state.adapters.keys(), ...loading]);
  const {adapter, model, name} = requested;
  const totalMb = (names: Iterable<string>) =>
    sum([...names].map(each => memory.adapterMb(each)));
  const neededMb =
    (models.has(model) ? 0 : memory.weightsMb(model)) +
    (adapter === undefined || adapters.has(name) ? 0 : memory.adapterMb(name));
  const weightsMb = sum([...models].map(each => memory.weightsMb(each)));
  const lackingMb =
    weightsMb + totalMb(adapters) + neededMb - memory.capacityMb;
  if (lackingMb <= 0) {
    return {kind: 'free'};
  }
  if (!Number.isFinite(neededMb)) {
    return {kind: 'none'};
  }
  if (leavingModels.size > 0) {
    return {kind: 'wait'};
  }
  const unused = unusedModels(input, now).filter(each => each !== model);
  const isUnknown = (each: string) => !Number.isFinite(memory.weightsMb(each));
  if ([...models].some(isUnknown)) {
    // Models that the deployment does not name any more.
    return planUnload(input, unused.filter(isUnknown)) ?? {kind: 'none'};
  }
  const evictable = evictableAdapters(input, loading, now);
  if (totalMb(evictable) >= lackingMb) {
    return {kind: 'unload-adapter'};
  }
  const freeable = [...adapters].filter(
    each => unused.includes(each.split('/')[0]) || evictable.includes(each),
  );
  const freeableMb =
    sum(unused.map(each => memory.weightsMb(each))) + totalMb(freeable);
  const unload =
    freeableMb >= lackingMb ? planUnload(input, unused) : undefined;
  if (unload !== undefined) {
    return unload;
  }
  const canWait = models.has(model) && totalMb(adapters) >= lackingMb;
  return {kind: canWait ? 'wait' : 'none'};
}

/** Plans the unload of the model that was used last the longest ago; undefined without models. */
function planUnload(
  {uses}: PlanInput,
  unused: readonly string[],
): RoomPlan | undefined {
  const [model] = [...unused].sort(
    (a, b) => uses.modelUsedAt(a) - uses.modelUsedAt(b),
  );
  return model === undefined ? undefined : {kind: 'unload-model', model};
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
