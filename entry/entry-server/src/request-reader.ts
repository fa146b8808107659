import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {
  BoundedSignal,
  createDisconnectSignal,
} from '@marigoldspur/abort-signals';
import {readCallerRequest, type CallerRequest} from '@marigoldspur/caller-api';
import type {CallerAuthenticator} from '@marigoldspur/caller-authentication';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {createShuttingDownRefusal} from '@marigoldspur/drain-admission';
import {Refusal} from '@marigoldspur/faults';
import {findInvalidHeader, onResponseEnd} from '@marigoldspur/http-link';
import {MemoryBudget} from '@marigoldspur/memory-budget';
import {
  BodyReader,
  discardRest,
  type BodyFailure,
} from '@marigoldspur/request-bodies';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {resolveSettings} from '@marigoldspur/settings-tree';
import {isRepeatable, type Job} from './job.js';

/** Options of a request reader. */
export interface RequestReaderOptions {
  readonly settingsFollower: SettingsFollower;
  readonly authenticator: CallerAuthenticator;
  /**
   * Maximum size of a body that is read before the service is known, in bytes.
   */
  readonly maxBodyBytes: number;
  /** Maximum total size of buffered bodies, in bytes. */
  readonly maxHeldBytes: number;
  /** Whether further requests are served. */
  readonly acceptsRequests: () => boolean;
  /** Aborts when requests that still run have to be answered. */
  readonly shutdownSignal: AbortSignal;
}

/** The requested service or adapter, with its effective settings. */
type ResolvedRequest = Pick<
  Job,
  'request' | 'settings' | 'revision' | 'method' | 'key'
>;

const MAX_KEY_LENGTH = 255;
const RETRY_AFTER_SECONDS = 1;

/** Reads a caller's request into a job. */
export class RequestReader {
  private readonly bodies: BodyReader;

  constructor(private readonly options: RequestReaderOptions) {
    const {maxHeldBytes} = options;
    const budget = new MemoryBudget({
      limit: {maxBytes: () => maxHeldBytes},
      heapBytes: () => 0,
      largeShare: 1,
    });
    this.bodies = new BodyReader({budget, kind: 'body'});
  }

  /**
   * Reads the body of a request that arrived at `startedAt`, in milliseconds, at the earliest,
   * and looks up the requested service or adapter. An invalid request is refused.
   */
  async read(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
    startedAt: number,
  ): Promise<Result<Job, Refusal>> {
    const disconnectSignal = createDisconnectSignal(response);
    const invalid = findInvalidHeader(request.headers);
    if (invalid !== undefined) {
      discardRest(request, true);
      response.setHeader('connection', 'close');
      return Result.err(new Refusal('not-run', 400, 'invalid_header', invalid));
    }
    const customer = this.options.authenticator.authenticate(request.headers);
    if (customer.isErr) {
      discardRest(request, true);
      return Result.err(customer.error);
    }
    const body = await this.readBody(request, response);
    if (!this.options.acceptsRequests()) {
      discardRest(request, true);
      response.setHeader('connection', 'close');
      return Result.err(createShuttingDownRefusal());
    }
    if (body.isErr) {
      discardRest(request, true);
      return Result.err(body.error);
    }
    const resolved = this.resolve(request, customer.value, body.value);
    return resolved.map(resolvedRequest => {
      const {shutdownSignal} = this.options;
      const run = createRunSignal(resolvedRequest, [
        shutdownSignal,
        ...(isRepeatable(resolvedRequest) ? [disconnectSignal] : []),
      ]);
      return {
        ...resolvedRequest,
        id,
        startedAt,
        headers: request.headers,
        body: body.value,
        disconnectSignal,
        signal: run.signal,
        dispose: () => run.dispose(),
      };
    });
  }

  private async readBody(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Buffer, Refusal>> {
    const {maxBodyBytes: maxBytes, shutdownSignal: signal} = this.options;
    const read = await this.bodies.read({request, maxBytes, signal});
    if (read.isErr) {
      return Result.err(createBodyRefusal(read.error));
    }
    const {pieces, release} = read.value;
    onResponseEnd(response, release);
    return Result.ok(pieces.length === 1 ? pieces[0] : Buffer.concat(pieces));
  }

  /** Looks up the requested service or adapter in the settings tree. */
  private resolve(
    message: IncomingMessage,
    customer: string | undefined,
    body: Buffer,
  ): Result<ResolvedRequest, Refusal> {
    const key = readIdempotencyKey(message);
    if (key.isErr) {
      return Result.err(key.error);
    }
    const {revision, tree} = this.options.settingsFollower.settings;
    const method = message.method ?? 'GET';
    const head = {method, url: message.url ?? '/', customer};
    const request = readCallerRequest(head, body, tree);
    if (request.isErr) {
      return Result.err(request.error);
    }
    const path = settingsPath(request.value);
    const settings = resolveSettings(tree, path) ?? DEFAULT_SETTINGS;
    const {maxBodyBytes} = settings;
    if (body.length > maxBodyBytes) {
      const reason = `the body exceeds the limit of ${maxBodyBytes} bytes`;
      return Result.err(createNotRunRefusal(413, 'body_too_large', reason));
    }
    return Result.ok({
      request: request.value,
      settings,
      revision,
      method,
      key: key.value,
    });
  }
}

/** Signal that ends a run at its deadline, or with one of the parent signals. */
function createRunSignal(
  {settings}: ResolvedRequest,
  parentSignals: AbortSignal[],
): BoundedSignal {
  return new BoundedSignal({
    timeoutMs: settings.requestTimeoutMs,
    parentSignals,
  });
}

function readIdempotencyKey(
  request: IncomingMessage,
): Result<string | undefined, Refusal> {
  const key = request.headers['idempotency-key'];
  if (key === undefined) {
    return Result.ok(undefined);
  }
  if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) {
    const message = `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`;
    return Result.err(createNotRunRefusal(400, 'malformed_key', message));
  }
  return Result.ok(key);
}

function settingsPath(request: CallerRequest): string {
  const service = `/${request.customer}/${request.service}`;
  return request.kind === 'model'
    ? `${service}/${request.model.adapter}`
    : service;
}

function createNotRunRefusal(
  status: number,
  reason: string,
  message: string,
): Refusal {
  return new Refusal('not-run', status, reason, message);
}

function createBodyRefusal({
  code,
  message,
  retryAfterSeconds = RETRY_AFTER_SECONDS,
}: BodyFailure): Refusal {
  switch (code) {
    case 'TOO_LARGE':
      return createNotRunRefusal(413, 'body_too_large', message);
    case 'STALLED':
      return createNotRunRefusal(408, 'body_stalled', message);
    case 'TORN':
      return createNotRunRefusal(400, 'body_broke_off', message);
    case 'FULL':
      return new Refusal(
        'not-run',
        503,
        'entry_full',
        'the entry holds too many request bodies',
        retryAfterSeconds,
      );
  }
}
