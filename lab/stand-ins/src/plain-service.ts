import {setTimeout as pause} from 'node:timers/promises';
import {readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {RunRecord} from './run-record.js';
import {sendJson, serveStandIn, type StandIn} from './stand-in.js';

/** Options of a plain service stand-in. */
export interface PlainServiceOptions {
  readonly port: number;
  /** Time of one call, in milliseconds. */
  readonly callMs: number;
}

const MAX_BODY_BYTES = 67_108_864;

/** Starts a stand-in for a plain service, which answers with what it received. */
export function startPlainService(
  options: PlainServiceOptions,
): Promise<StandIn> {
  const record: RunRecord[] = [];
  return serveStandIn(options.port, async (request, response) => {
    const body = await readBody(request, MAX_BODY_BYTES);
    if (request.url === '/record') {
      sendJson(response, 200, record);
      return;
    }
    if (request.url === '/health') {
      sendJson(response, 200, {running: record.length});
      return;
    }
    if (body.isErr) {
      response.destroy();
      return;
    }
    const run: RunRecord = {
      request: String(request.headers[HOP_HEADERS.request] ?? ''),
      attempt: Number(request.headers[HOP_HEADERS.attempt] ?? 0),
      model: request.url ?? '',
      input: body.value.toString('utf8'),
      startedAt: Date.now(),
      end: 'running',
    };
    record.push(run);
    await pause(options.callMs);
    run.end = response.destroyed ? 'cancelled' : 'whole';
    sendJson(response, 200, {
      method: request.method,
      url: request.url,
      body: run.input,
      call: record.length,
    });
  });
}
