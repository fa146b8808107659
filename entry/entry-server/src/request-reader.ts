import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {readCallerRequest, type CallerRequest} from '@marigoldspur/caller-api';
import type {CallerKeyTable} from '@marigoldspur/caller-keys';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {Refusal} from '@marigoldspur/faults';
import {readBody} from '@marigoldspur/http-link';
import {DEFAULT_SETTINGS} from '@marigoldspur/settings-schema';
import {settingsOf} from '@marigoldspur/settings-tree';
import {isRepeatable, type Job} from './job.js';

/** What a request reader works with. */
export interface RequestReaderOptions {
  readonly settings: SettingsFollower;
  readonly keys: CallerKeyTable;
  /** Largest body that is read before the service is known, in bytes. */
  readonly maxBodyBytes: number;
}

const MAX_KEY_LENGTH = 255;

/** Reads a caller's request into a job. */
export class RequestReader {
  constructor(private readonly options: RequestReaderOptions) {}

  /** Reads the body and looks up what the request names; what is wrong is refused. */
  async read(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Job, Refusal>> {
    const startedAt = performance.now();
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    const customer = this.options.keys.customerOf(request.headers);
    if (customer.isErr) {
      dropRest(request);
      return Result.err(customer.error);
    }
    const body = await readBody(request, this.options.maxBodyBytes);
    if (body.isErr) {
      const {code, message} = body.error;
      dropRest(request);
      return Result.err(
        code === 'TOO_LARGE'
          ? rejected(413, 'body_too_large', message)
          : rejected(400, 'body_broke_off', message),
      );
    }
    const key = readKey(request);
    if (key.isErr) {
      return Result.err(key.error);
    }
    const {revision, tree} = this.options.settings.settings;
    const method = request.method ?? 'GET';
    const url = request.url ?? '/';
    const head = {method, url, customer: customer.value};
    const read = readCallerRequest(head, body.value, tree);
    if (read.isErr) {
      return Result.err(read.error);
    }
    const settings = settingsOf(tree, pathOf(read.value)) ?? DEFAULT_SETTINGS;
    if (body.value.length > settings.maxBodyBytes) {
      const message = `the body is over ${settings.maxBodyBytes} bytes`;
      return Result.err(rejected(413, 'body_too_large', message));
    }
    const deadline = AbortSignal.timeout(settings.requestTimeoutMs);
    return Result.ok({
      id,
      startedAt,
      request: read.value,
      settings,
      revision,
      method,
      headers: request.headers,
      body: body.value,
      key: key.value,
      callerGone: gone.signal,
      signal: isRepeatable({key: key.value, settings})
        ? AbortSignal.any([deadline, gone.signal])
        : deadline,
    });
  }
}

/** Reads and drops what is left, so that the caller gets to read its refusal. */
function dropRest(request: IncomingMessage): void {
  request.removeAllListeners('data');
  request.resume();
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
