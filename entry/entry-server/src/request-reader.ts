import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {BoundedSignal, disconnectSignal} from '@marigoldspur/bounded-signal';
import {readCallerRequest, type CallerRequest} from '@marigoldspur/caller-api';
import type {CallerAuthenticator} from '@marigoldspur/caller-keys';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {resolveSettings} from '@marigoldspur/settings-tree';
import {isRepeatable, type Job} from './job.js';

/** What a request reader works with. */
export interface RequestReaderOptions {
  readonly settings: SettingsFollower;
  readonly authenticator: CallerAuthenticator;
  /** Largest body that is read before the service is known, in bytes. */
  readonly maxBodyBytes: number;
  /** Bytes of all bodies that are held at once. */
  readonly maxHeldBytes: number;
}

/** What a request names, with the settings in force for it. */
type NamedRequest = Pick<
  Job,
  'request' | 'settings' | 'revision' | 'method' | 'key'
>;

const MAX_KEY_LENGTH = 255;
const RETRY_SOON_SECONDS = 1;
const FULL = 'full';

/** Reads a caller's request into a job. */
export class RequestReader {
  private heldBytes = 0;

  constructor(private readonly options: RequestReaderOptions) {}

  /** Reads the body and looks up what the request names; what is wrong is refused. */
  async read(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Job, Refusal>> {
    const startedAt = performance.now();
    const gone = disconnectSignal(response);
    const customer = this.options.authenticator.authenticate(request.headers);
    if (customer.isErr) {
      dropRest(request);
      return Result.err(customer.error);
    }
    const body = await this.readBody(request, response);
    if (body.isErr) {
      dropRest(request);
      return Result.err(body.error);
    }
    const named = this.lookUp(request, customer.value, body.value);
    return named.map(found => {
      const run = runSignal(found, gone);
      return {
        ...found,
        id,
        startedAt,
        headers: request.headers,
        body: body.value,
        callerGone: gone,
        signal: run.signal,
        end: () => run.dispose(),
      };
    });
  }

  private async readBody(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Buffer, Refusal>> {
    const full = this.hold(request, response);
    const body = await Promise.race([
      full,
      readBody(request, this.options.maxBodyBytes),
    ]);
    if (body === FULL) {
      return Result.err(entryFull());
    }
    return body.mapErr(({code, message}) =>
      code === 'TOO_LARGE'
        ? rejected(413, 'body_too_large', message)
        : rejected(400, 'body_broke_off', message),
    );
  }

  /** Finds what a request names in the settings tree. */
  private lookUp(
    message: IncomingMessage,
    customer: string | undefined,
    body: Buffer,
  ): Result<NamedRequest, Refusal> {
    const key = readKey(message);
    if (key.isErr) {
      return Result.err(key.error);
    }
    const {revision, tree} = this.options.settings.settings;
    const method = message.method ?? 'GET';
    const head = {method, url: message.url ?? '/', customer};
    const request = readCallerRequest(head, body, tree);
    if (request.isErr) {
      return Result.err(request.error);
    }
    const path = pathOf(request.value);
    const settings = resolveSettings(tree, path) ?? DEFAULT_SETTINGS;
    const {maxBodyBytes} = settings;
    if (body.length > maxBodyBytes) {
      const reason = `the body is over ${maxBodyBytes} bytes`;
      return Result.err(rejected(413, 'body_too_large', reason));
    }
    return Result.ok({
      request: request.value,
      settings,
      revision,
      method,
      key: key.value,
    });
  }

  /**
   * Counts a request's body until its answer has ended: all of it where its length is
   * stated, else what has come. Resolves once it does not fit.
   */
  private hold(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<typeof FULL> {
    const {maxBodyBytes, maxHeldBytes} = this.options;
    let held = 0;
    response.on('close', () => (this.heldBytes -= held));
    return new Promise(resolve => {
      const count = (bytes: number) => {
        if (this.heldBytes + bytes > maxHeldBytes) {
          resolve(FULL);
          return;
        }
        held += bytes;
        this.heldBytes += bytes;
      };
      if (request.headers['transfer-encoding'] === undefined) {
        const stated = Number(request.headers['content-length'] ?? 0);
        count(Math.min(stated, maxBodyBytes));
      } else {
        request.on('data', (chunk: Buffer) => count(chunk.length));
      }
    });
  }
}

/** Reads and drops what is left, so that the caller gets to read its refusal. */
function dropRest(request: IncomingMessage): void {
  request.removeAllListeners('data');
  request.resume();
}

/** Ends a run at its deadline, and where it may be repeated also without its caller. */
function runSignal(
  named: NamedRequest,
  callerGone: AbortSignal,
): BoundedSignal {
  return new BoundedSignal({
    timeoutMs: named.settings.requestTimeoutMs,
    parentSignals: isRepeatable(named) ? [callerGone] : [],
  });
}

function readKey(
  request: IncomingMessage,
): Result<string | undefined, Refusal> {
  const key = request.headers['idempotency-key'];
  if (key === undefined) {
    return Result.ok(undefined);
  }
  if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) {
    const message = `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`;
    return Result.err(rejected(400, 'malformed_key', message));
  }
  return Result.ok(key);
}

function pathOf(request: CallerRequest): string {
  const service = `/${request.customer}/${request.service}`;
  return request.kind === 'model'
    ? `${service}/${request.model.adapter}`
    : service;
}

function rejected(status: number, reason: string, message: string): Refusal {
  return new Refusal('not-run', status, reason, message);
}

function entryFull(): Refusal {
  return new Refusal(
    'not-run',
    503,
    'entry_full',
    'the entry holds too many bodies',
    RETRY_SOON_SECONDS,
  );
}
