import type {IncomingMessage} from 'node:http';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';

const MAX_REFUSAL_BYTES = 65_536;

/**
 * Parses a refusal from an agent; undefined if the response is the target's
 * own.
 */
export async function readAgentRefusal(
  message: IncomingMessage,
): Promise<Refusal | undefined> {
  const outcome = message.headers[HOP_HEADERS.outcome];
  if (outcome === undefined) {
    return undefined;
  }
  const body = await readBody(message, MAX_REFUSAL_BYTES);
  const text = body.isOk ? body.value.toString('utf8') : '';
  return new Refusal(
    parseRefusalOutcome(String(outcome)),
    message.statusCode ?? 502,
    String(message.headers[HOP_HEADERS.reason] ?? 'refused'),
    parseRefusalMessage(text),
    Number(message.headers['retry-after']) || undefined,
  );
}

function parseRefusalOutcome(text: string): RefusalOutcome {
  return text === 'not-run' || text === 'failed' ? text : 'unknown';
}

function parseRefusalMessage(text: string): string {
  try {
    return String((JSON.parse(text) as {message: unknown}).message);
  } catch {
    return 'the agent refused the request';
  }
}
