import type http from 'node:http';
import {
  ENGINE_VIEW_MAX_INTERVAL_MS,
  type EngineView,
} from '@marigoldspur/deployment';

/** Changes of load alone are told at most this often, in milliseconds. */
const LOAD_INTERVAL_MS = 250;

/** Streams the state of an engine to entries, a JSON message a line. */
export class ViewStreams {
  private readonly followers = new Set<http.ServerResponse>();
  private line: string | undefined;
  private adapters = '';
  private toldAt = -Infinity;

  /** Answers a request for the stream. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    this.followers.add(response);
    response.on('close', () => this.followers.delete(response));
    response.on('error', () => this.followers.delete(response));
    if (this.line !== undefined) {
      response.write(this.line);
    }
  }

  /** Tells a state that was read at time `now`, in milliseconds, where it is due. */
  publish(view: EngineView, now: number): void {
    const line = `${JSON.stringify(view)}\n`;
    const {adapters: held, answers, awaited, bornAt, loading} = view;
    const adapters = JSON.stringify([bornAt, answers, held, loading, awaited]);
    const isDue =
      adapters !== this.adapters ||
      (line !== this.line && now - this.toldAt >= LOAD_INTERVAL_MS) ||
      now - this.toldAt >= ENGINE_VIEW_MAX_INTERVAL_MS;
    if (!isDue) {
      return;
    }
    this.line = line;
    this.adapters = adapters;
    this.toldAt = now;
    this.followers.forEach(follower => follower.write(line));
  }

  /** Ends all streams. */
  stop(): void {
    this.followers.forEach(follower => follower.destroy());
  }
}
