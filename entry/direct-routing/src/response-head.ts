import type {IncomingMessage} from 'node:http';
import {discardBody} from '@marigoldspur/http-link';
import type {Attempt} from './attempt.js';
import type {Call} from './call.js';
import {
  isSuccess,
  type TargetFailure,
  type TargetResponse,
} from './target-client.js';

const STATUS_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** Why a successful response is not the rest of a stream; undefined if it may be. */
export function findTypeFailure(
  call: Call,
  {message}: TargetResponse,
): TargetFailure | undefined {
  const isForeign =
    call.route.streaming &&
    isSuccess(message.statusCode) &&
    !isStream(call, message);
  if (!isForeign) {
    return undefined;
  }
  discardBody(message);
  const type = message.headers['content-type'];
  return {
    kind: 'broken',
    outcome: 'unknown',
    message: `status ${message.statusCode} with type "${type}" is not the rest of a stream`,
  };
}

/** Why the start of a target can't continue a stream; undefined if it can. */
export async function findStartFailure({
  isAnnouncedStart,
  message,
}: TargetResponse): Promise<TargetFailure | undefined> {
  if ((await isAnnouncedStart) === false) {
    discardBody(message);
    return {
      kind: 'replaced',
      outcome: 'unknown',
      message: 'the target started anew after its announcement',
    };
  }
  // A relay that starts now would miss that the connection closed meanwhile.
  return message.destroyed
    ? {
        kind: 'broken',
        outcome: 'unknown',
        message: 'the connection closed after the response headers',
      }
    : undefined;
}

/** Whether another target responded at the address of the one that was meant. */
export function isFromOtherTarget(
  {target}: Attempt,
  {metadata}: TargetResponse,
): boolean {
  return metadata.target !== undefined && metadata.target !== target.id;
}

/** Whether a response is the stream that the call's route promises. */
export function isStream(
  {route}: Call,
  {headers, statusCode}: IncomingMessage,
): boolean {
  const type = headers['content-type'] ?? EVENT_STREAM_TYPE;
  return (
    route.streaming &&
    statusCode === STATUS_OK &&
    type.startsWith(EVENT_STREAM_TYPE)
  );
}
