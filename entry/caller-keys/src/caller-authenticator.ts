import type {IncomingHttpHeaders} from 'node:http';
import {Result} from 'true-myth';
import {
  CALLER_KEYS_SCHEMA,
  secretDigest,
  type CallerKeys,
} from '@marigoldspur/access';
import type {EventLog} from '@marigoldspur/event-log';
import {InvalidInput, Refusal} from '@marigoldspur/faults';
import {KeyFile, createSchemaParser} from '@marigoldspur/key-files';
import {isLoopback} from '@marigoldspur/link-security';

const STATUS_UNAUTHORIZED = 401;
const BEARER = 'Bearer ';

/** Finds the customer of a caller. */
export interface CallerAuthenticator {
  /** The customer of a request's key; undefined where no keys are set, so that any customer's names are served. */
  authenticate(
    headers: IncomingHttpHeaders,
  ): Result<string | undefined, Refusal>;
  stop(): void;
}

/** Options of a table of callers' keys. */
export interface CallerAuthenticatorOptions {
  /** Key file; without one every caller is let in, on loopback only. */
  readonly file: string | undefined;
  /** Address that callers reach. */
  readonly host: string;
  readonly events: EventLog;
}

/** Opens the table of callers' keys; throws `InvalidInput`. */
export async function openCallerAuthenticator(
  options: CallerAuthenticatorOptions,
): Promise<CallerAuthenticator> {
  const {file, host, events} = options;
  if (file === undefined && !isLoopback(host)) {
    const reason = `is needed where callers reach ${host}, which is no loopback address`;
    throw new InvalidInput([{place: '--caller-keys', reason}]);
  }
  if (file === undefined) {
    return {authenticate: () => Result.ok(undefined), stop: () => {}};
  }
  const parse = createSchemaParser(CALLER_KEYS_SCHEMA);
  const keyFile = await KeyFile.open({file, parse, events});
  return {
    authenticate: headers => customerOf(keyFile.current, headers),
    stop: () => keyFile.stop(),
  };
}

function customerOf(
  keys: CallerKeys,
  headers: IncomingHttpHeaders,
): Result<string | undefined, Refusal> {
  const header = headers.authorization ?? '';
  if (!header.startsWith(BEARER)) {
    return Result.err(unauthorized('missing_key', 'a key is needed'));
  }
  const digest = secretDigest(header.slice(BEARER.length));
  const key = keys.keys.find(each => each.sha256 === digest);
  return key === undefined
    ? Result.err(unauthorized('bad_key', 'the key is not known'))
    : Result.ok(key.customer);
}

function unauthorized(reason: string, message: string): Refusal {
  return new Refusal('not-run', STATUS_UNAUTHORIZED, reason, message);
}
