import type {
  CallerLimits,
  EngineCapacity,
  EngineModel,
  Quota,
  Route,
  Service,
  Tenant,
} from '@marigoldspur/deployment';

/** A value of an entry; undefined if the entry states none. */
type Value = string | number | boolean | undefined;

/** Values of an entry by label. */
export type Description = ReadonlyMap<string, Value>;

/** A label for each of these fields, so that a new field cannot be forgotten. */
type Labels<Fields> = Readonly<Record<keyof Fields, string>>;

const ROUTE_LABELS: Labels<Omit<Route, 'name' | 'backends' | 'isPublic'>> = {
  host: 'host',
  pathPrefix: 'path prefix',
  streaming: 'streaming',
  idempotent: 'whether requests may run more than once',
  timeoutMs: 'timeout (ms)',
  latencyObjectiveMs: 'latency objective (ms)',
  maxGapMs: 'longest gap (ms)',
  patienceMs: 'patience of callers (ms)',
  priority: 'priority',
  maxAttempts: 'number of attempts',
};

const SERVICE_LABELS: Labels<Omit<Service, 'name' | 'engine'>> = {
  healthPath: 'health path',
  maxConnections: 'number of connections',
};

const ENGINE_LABELS: Labels<Omit<EngineCapacity, 'models'>> = {
  batchLimit: 'batch limit',
  tokenMemory: 'memory (tokens)',
  adapterSlots: 'adapter slots',
  memoryMb: 'memory for weights and adapters (MB)',
  loadsPerSecond: 'loads per second',
};

const MODEL_LABELS: Labels<Omit<EngineModel, 'name'>> = {
  adapters: 'number of adapters',
  weightsMb: 'size of the weights (MB)',
  adapterMb: 'size of an adapter (MB)',
  loadMs: 'load time from the store (ms)',
  diskLoadMs: 'load time from disk (ms)',
  memoryLoadMs: 'load time from memory (ms)',
};

const LIMITS_LABELS: Labels<CallerLimits> = {
  maxHeaderBytes: 'size of headers (bytes)',
  maxBodyBytes: 'size of a body (bytes)',
  headerTimeoutMs: 'timeout for headers (ms)',
  idleTimeoutMs: 'timeout of idle connections (ms)',
};

const QUOTA_LABELS: Labels<Quota> = {
  unit: 'unit of the quota',
  perSecond: 'rate of the quota (per second)',
  burst: 'burst of the quota',
  defaultCost: 'cost of a request without stated tokens',
};

/** Describes a route without its name. */
export function describeRoute(route: Route): Description {
  const backends = route.backends
    .map(({service, weight}) => `${service} (weight ${weight})`)
    .join(', ');
  return new Map<string, Value>([
    ...describe(ROUTE_LABELS, route),
    ['whether requests need no key', route.isPublic ?? false],
    ['backends', backends],
  ]);
}

/** Describes a service without its name and its models. */
export function describeService({engine, ...service}: Service): Description {
  const kind = engine === undefined ? 'plain targets' : 'model engines';
  return new Map<string, Value>([
    ...describe(SERVICE_LABELS, service),
    ['kind', kind],
    ...describe(ENGINE_LABELS, engine),
  ]);
}

/** Describes a model of a service without its name. */
export function describeModel(model: EngineModel): Description {
  return new Map(describe(MODEL_LABELS, model));
}

/** Describes the limits on callers' requests. */
export function describeLimits(limits: CallerLimits): Description {
  return new Map(describe(LIMITS_LABELS, limits));
}

/** Describes a tenant without its name and its keys, which are secrets. */
export function describeTenant({priority, quota}: Tenant): Description {
  return new Map<string, Value>([
    ['priority', priority],
    ...describe(QUOTA_LABELS, quota),
  ]);
}

function describe<Field extends string>(
  labels: Readonly<Record<Field, string>>,
  entry: {readonly [Key in Field]?: Value} | undefined,
): [string, Value][] {
  const fields = Object.keys(labels) as Field[];
  return fields.map(field => [labels[field], entry?.[field]]);
}
