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
const BEARER_PREFIX = 'Bearer ';

/** Determines the customer of a caller. */
export interface CallerAuthenticator {
  /**
   * Returns the customer of the request's key; undefined if no keys are
   * configured, in which case requests for any customer are served.
   */
  authenticate(
    headers: IncomingHttpHeaders,
  ): Result<string | undefined, Refusal>;
  /** Stops watching the key file. */
  stop(): void;
}

/** Options of a caller authenticator. */
export interface CallerAuthenticatorOptions {
  /**
   * Key file. Without it no key is required, which is allowed on loopback
   * addresses only.
   */
  readonly file: string | undefined;
  /** Address on which callers connect. */
  readonly host: string;
  readonly events: EventLog;
}

/**
 * Opens the caller authenticator. Throws `InvalidInput` if keys are required
 * but not configured.
 */
export async function openCallerAuthenticator(
  options: CallerAuthenticatorOptions,
): Promise<CallerAuthenticator> {
  const {file, host, events} = options;
  if (file === undefined && !isLoopback(host)) {
    const reason = `is required because the caller address ${host} is not a loopback address`;
    throw new InvalidInput([{place: '--caller-keys', reason}]);
  }
  if (file === undefined) {
    return {authenticate: () => Result.ok(undefined), stop: () => {}};
  }
  const parse = await createSchemaParser(CALLER_KEYS_SCHEMA);
  const keyFile = await KeyFile.open({file, parse, events});
  return {
    authenticate: headers => findCustomer(keyFile.current, headers),
    stop: () => keyFile.stop(),
  };
}

function findCustomer(
  keys: CallerKeys,
  headers: IncomingHttpHeaders,
): Result<string | undefined, Refusal> {
  const header = headers.authorization ?? '';
  if (!header.startsWith(BEARER_PREFIX)) {
    return Result.err(
      createUnauthorizedRefusal(
        'missing_key',
        'an API key is required in the Authorization header',
      ),
    );
  }
  const digest = secretDigest(header.slice(BEARER_PREFIX.length));
  const key = keys.keys.find(candidate => candidate.sha256 === digest);
  return key === undefined
    ? Result.err(createUnauthorizedRefusal('bad_key', 'the API key is invalid'))
    : Result.ok(key.customer);
}

function createUnauthorizedRefusal(reason: string, message: string): Refusal {
  return new Refusal('not-run', STATUS_UNAUTHORIZED, reason, message);
}
