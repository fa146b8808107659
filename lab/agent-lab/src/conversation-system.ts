import {
  deploymentTree,
  startSystem,
  type Deployment,
  type System,
} from '@marigoldspur/lab';
import type {EngineFaults, RunRecord} from '@marigoldspur/stand-ins';

/** Options of a system for conversations. */
export interface ConversationSystemOptions {
  readonly engines: number;
  readonly entries: number;
  readonly adapters: number;
  readonly batchLimit: number;
  readonly tokenMs: number;
  /** Settings of the service. */
  readonly prefixAffinity: number;
  readonly stallWeight: number;
  /** Flags of each engine, as for its prefix cache. */
  readonly engineFlags: readonly string[];
}

/** One message of a chat. */
export interface Message {
  readonly role: 'system' | 'user' | 'assistant';
  readonly content: string;
}

/** A chat to send. */
export interface Chat {
  readonly model: string;
  readonly messages: readonly Message[];
  readonly tokens: number;
}

/** An answer to a chat. */
export interface ChatAnswer {
  readonly status: number;
  readonly model: string;
  readonly text: string;
}

interface Completion {
  readonly model?: string;
  readonly choices?: ReadonlyArray<{readonly message: Message}>;
}

const CUSTOMER = 'callao';
const SERVICE = 'lm-desk';
const LOADS_PER_SECOND = 50;

/** Starts control, entries and engines with prefix caches as processes. */
export async function startConversationSystem(
  options: ConversationSystemOptions,
): Promise<System> {
  const deployment: Deployment = {
    customer: CUSTOMER,
    zones: ['lima-a', 'lima-b', 'lima-c'],
    targets: [{service: SERVICE, kind: 'engine', count: options.engines}],
    loadsPerSecond: LOADS_PER_SECOND,
  };
  const tree = deploymentTree([deployment], options.adapters);
  const {prefixAffinity, stallWeight} = options;
  tree.settings = {prefixAffinity, stallWeight};
  const system = await startSystem({
    ...options,
    deployments: [deployment],
    tree,
    controls: 1,
  });
  await system.settled();
  return system;
}

/** Sends a chat to an entry. */
export async function sendChat(
  entryUrl: string,
  {messages, model, tokens}: Chat,
): Promise<ChatAnswer> {
  const answer = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    body: JSON.stringify({model, messages, max_tokens: tokens}),
  });
  const body = (await answer.json()) as Completion;
  return {
    status: answer.status,
    model: body.model ?? '',
    text: body.choices?.[0].message.content ?? '',
  };
}

/** What each engine ran, by the names of the engines. */
export async function runsOf(
  system: System,
): Promise<Map<string, RunRecord[]>> {
  const runs = system.targets.map(async ({name, url}) => {
    const page = await fetch(`${url}/record`);
    return [name, (await page.json()) as RunRecord[]] as const;
  });
  return new Map(await Promise.all(runs));
}

/** Sets the faults of an engine. */
export async function setFaults(
  engineUrl: string,
  faults: Partial<EngineFaults>,
): Promise<void> {
  const body = JSON.stringify(faults);
  await fetch(`${engineUrl}/faults`, {method: 'POST', body});
}
