import type {Random} from './random.js';

/** One request of the load. */
export interface PlannedRequest {
  /** When it is sent, in milliseconds after the start of the load. */
  readonly atMs: number;
  /** Identity of the operation, unique in the run. */
  readonly operation: string;
  readonly kind: 'streamed' | 'completion' | 'keyed-call' | 'single-call';
  /** Adapter and version as `adapter@version`, or the path on the plain service. */
  readonly model: string;
  /** Number of tokens of a completion. */
  readonly tokens: number;
}

/** Options of a load plan. */
export interface LoadPlanOptions {
  readonly requestsPerSecond: number;
  /** Duration of the load. */
  readonly seconds: number;
  /** Adapters that requests name, as `adapter@version`. */
  readonly models: readonly string[];
}

const REQUEST_KINDS = [
  'streamed',
  'streamed',
  'completion',
  'keyed-call',
  'single-call',
] as const;
const MIN_TOKENS = 3;
const MAX_TOKENS = 40;
const CALL_PATH = '/indication';

/** Plans requests at a steady rate; their kinds, adapters and lengths are random. */
export function planLoad(
  options: LoadPlanOptions,
  random: Random,
): PlannedRequest[] {
  const {requestsPerSecond, seconds, models} = options;
  const count = Math.round(requestsPerSecond * seconds);
  return Array.from({length: count}, (_, index) => {
    const kind = random.pick(REQUEST_KINDS);
    const model = random.pick(models);
    return {
      atMs: (index * 1_000) / requestsPerSecond,
      operation: `op-${index}`,
      kind,
      model: kind.endsWith('call') ? CALL_PATH : model,
      tokens: random.integer(MIN_TOKENS, MAX_TOKENS),
    };
  });
}

/** Builds the complete text that a stand-in answers to a request. */
export function buildExpectedText(request: PlannedRequest): string {
  if (request.kind.endsWith('call')) {
    return request.operation;
  }
  const words = Array.from(
    {length: request.tokens - 1},
    (_, i) => ` w${i + 1}`,
  );
  return [request.model, ...words].join('');
}
