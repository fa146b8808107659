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
  /** Duration of a call, in milliseconds. */
  readonly callMs: number;
}

const MAX_BODY_BYTES = 67_108_864;
const FREEZE_POLL_MS = 10;

/** Starts a stand-in for a plain service, which echoes each call in its response. */
export function startPlainService(
  options: PlainServiceOptions,
): Promise<StandIn> {
  const service = new PlainService(options);
  return serveStandIn(options.port, (request, response) => {
    void service.handle(request, response).catch(() => response.destroy());
  });
}

class PlainService {
  private readonly records: RunRecord[] = [];
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
        return sendJson(response, 200, this.records);
      case 'POST /faults':
        this.faults = SERVICE_FAULTS_SCHEMA.parse(JSON.parse(text));
        return sendJson(response, 200, this.faults);
    }
    while (this.faults.freeze) {
      await pause(FREEZE_POLL_MS);
    }
    if (request.url === '/health') {
      const status = this.faults.unhealthy ? 503 : 200;
      return sendJson(response, status, {running: this.records.length});
    }
    await this.runCall(request, text, response);
  }

  private async runCall(
    request: IncomingMessage,
    input: string,
    response: ServerResponse,
  ): Promise<void> {
    if (this.consumeFault('failCalls')) {
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
    this.records.push(run);
    await pause(this.options.callMs + this.faults.slowMs);
    run.end = response.destroyed ? 'cancelled' : 'whole';
    this.respond(request, run, response);
  }

  private respond(
    {method, url}: IncomingMessage,
    {input: body}: RunRecord,
    response: ServerResponse,
  ): void {
    if (this.consumeFault('loseAnswers')) {
      response.destroy();
      return;
    }
    const echo = {method, url, body, call: this.records.length};
    if (!this.consumeFault('cutAnswers')) {
      sendJson(response, 200, echo);
      return;
    }
    const bytes = Buffer.from(JSON.stringify(echo));
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    const half = bytes.subarray(0, bytes.length / 2);
    response.write(half, () => response.destroy());
  }

  /** Decrements a counted fault; returns false when its count is already 0. */
  private consumeFault(
    name: 'failCalls' | 'loseAnswers' | 'cutAnswers',
  ): boolean {
    if (this.faults[name] <= 0) {
      return false;
    }
    this.faults[name] -= 1;
    return true;
  }
}
