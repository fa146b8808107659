import {
  createDeploymentTree,
  startSystem,
  type Deployment,
  type System,
} from '@marigoldspur/lab';
import type {EngineFaults, RunRecord} from '@marigoldspur/stand-ins';

/** Options of a system for chat conversations. */
export interface ConversationSystemOptions {
  /** Number of engines. */
  readonly engines: number;
  /** Number of entries. */
  readonly entries: number;
  /** Number of adapters. */
  readonly adapters: number;
  /** Maximum number of requests in a batch of an engine. */
  readonly batchLimit: number;
  /** Time between tokens of an engine, in milliseconds. */
  readonly tokenMs: number;
  /** Setting `prefixAffinity` at the root of the settings tree. */
  readonly prefixAffinity: number;
  /** Setting `stallWeight` at the root of the settings tree. */
  readonly stallWeight: number;
  /** Flags of each engine, for example of its prefix cache. */
  readonly engineFlags: readonly string[];
}

/** A message of a chat. */
export interface Message {
  readonly role: 'system' | 'user' | 'assistant';
  readonly content: string;
}

/** A chat to send. */
export interface Chat {
  /** Adapter and version. */
  readonly model: string;
  readonly messages: readonly Message[];
  /** Number of tokens to generate. */
  readonly tokens: number;
}

/** The response to a chat. */
export interface ChatResponse {
  readonly status: number;
  /** Model that the response names; empty if the request failed. */
  readonly model: string;
  /** Generated text; empty if the request failed. */
  readonly text: string;
}

interface CompletionBody {
  readonly model?: string;
  readonly choices?: ReadonlyArray<{readonly message: Message}>;
}

const CUSTOMER = 'callao';
const SERVICE = 'lm-desk';
const LOADS_PER_SECOND = 50;

/**
 * Starts control, entries and engines with prefix caches as processes, and waits until
 * they are ready.
 */
export async function startConversationSystem(
  options: ConversationSystemOptions,
): Promise<System> {
  const deployment: Deployment = {
    customer: CUSTOMER,
    zones: ['lima-a', 'lima-b', 'lima-c'],
    targets: [{service: SERVICE, kind: 'engine', count: options.engines}],
    loadsPerSecond: LOADS_PER_SECOND,
  };
  const tree = createDeploymentTree([deployment], options.adapters);
  const {prefixAffinity, stallWeight} = options;
  tree.settings = {prefixAffinity, stallWeight};
  const system = await startSystem({
    ...options,
    deployments: [deployment],
    tree,
    controls: 1,
  });
  await system.waitUntilSettled();
  return system;
}

/** Sends a chat to an entry; resolves to the complete response. */
export async function sendChat(
  entryUrl: string,
  {messages, model, tokens}: Chat,
): Promise<ChatResponse> {
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify({model, messages, max_tokens: tokens}),
  });
  const body = (await response.json()) as CompletionBody;
  return {
    status: response.status,
    model: body.model ?? '',
    text: body.choices?.[0].message.content ?? '',
  };
}

/** Fetches the run records of each engine, by engine name. */
export async function fetchRunRecords(
  system: System,
): Promise<Map<string, RunRecord[]>> {
  const runs = system.targets.map(async ({name, url}) => {
    const response = await fetch(`${url}/record`);
    return [name, (await response.json()) as RunRecord[]] as const;
  });
  return new Map(await Promise.all(runs));
}

/** Replaces the injected faults of an engine. */
export async function setFaults(
  engineUrl: string,
  faults: Partial<EngineFaults>,
): Promise<void> {
  const body = JSON.stringify(faults);
  await fetch(`${engineUrl}/faults`, {method: 'POST', body});
}
