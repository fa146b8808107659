import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {RunRecord} from './run-record.js';
import {SERVICE_FAULTS_SCHEMA, type ServiceFaults} from './service-faults.js';
import {sendJson, serveStandIn, type StandIn} from './stand-in.js';

/** Options of a plain service stand-in. */
export interface PlainServiceOptions {
  readonly port: number;
  /** Time of one call, in milliseconds. */
  readonly callMs: number;
}

const MAX_BODY_BYTES = 67_108_864;
const FREEZE_POLL_MS = 10;

/** Starts a stand-in for a plain service, which answers with what it received. */
export function startPlainService(
  options: PlainServiceOptions,
): Promise<StandIn> {
  const service = new PlainService(options);
  return serveStandIn(options.port, (request, response) => {
    void service.handle(request, response).catch(() => response.destroy());
  });
}

class PlainService {
  private readonly record: RunRecord[] = [];
  private faults: ServiceFaults = SERVICE_FAULTS_SCHEMA.parse({});

  constructor(private readonly options: PlainServiceOptions) {}

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (body.isErr) {
      response.destroy();
      return;
    }
    const text = body.value.toString('utf8');
    switch (`${request.method} ${request.url}`) {
      case 'GET /record':
        return sendJson(response, 200, this.record);
      case 'POST /faults':
        this.faults = SERVICE_FAULTS_SCHEMA.parse(JSON.parse(text));
        return sendJson(response, 200, this.faults);
    }
    while (this.faults.freeze) {
      await pause(FREEZE_POLL_MS);
    }
    if (request.url === '/health') {
      const status = this.faults.unhealthy ? 503 : 200;
      return sendJson(response, status, {running: this.record.length});
    }
    await this.call(request, text, response);
  }

  private async call(
    request: IncomingMessage,
    input: string,
    response: ServerResponse,
  ): Promise<void> {
    if (this.take('failCalls')) {
      return sendJson(response, 500, {error: 'the call failed'});
    }
    const run: RunRecord = {
      request: String(request.headers[HOP_HEADERS.request] ?? ''),
      attempt: Number(request.headers[HOP_HEADERS.attempt] ?? 0),
      model: request.url ?? '',
      input,
      startedAt: Date.now(),
      end: 'running',
    };
    this.record.push(run);
    await pause(this.options.callMs + this.faults.slowMs);
    run.end = response.destroyed ? 'cancelled' : 'whole';
    this.answer(request, run, response);
  }

  private answer(
    {method, url}: IncomingMessage,
    {input: body}: RunRecord,
    response: ServerResponse,
  ): void {
    if (this.take('loseAnswers')) {
      response.destroy();
      return;
    }
    const answer = {method, url, body, call: this.record.length};
    if (!this.take('cutAnswers')) {
      sendJson(response, 200, answer);
      return;
    }
    const bytes = Buffer.from(JSON.stringify(answer));
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    const half = bytes.subarray(0, bytes.length / 2);
    response.write(half, () => response.destroy());
  }

  /** Uses a counted fault up by one; false where none is left. */
  private take(name: 'failCalls' | 'loseAnswers' | 'cutAnswers'): boolean {
    if (this.faults[name] <= 0) {
      return false;
    }
    this.faults[name] -= 1;
    return true;
  }
}
