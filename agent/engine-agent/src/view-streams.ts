import type http from 'node:http';
import {
  ENGINE_VIEW_MAX_INTERVAL_MS,
  type EngineView,
} from '@marigoldspur/deployment';

/** Minimum interval between messages that change only the load figures. */
const LOAD_INTERVAL_MS = 250;

/**
 * Streams the state of an engine to entries as JSON lines. A follower that does not read gets the
 * latest state once it reads again, and none between.
 */
export class ViewStreams {
  private readonly followers = new Set<http.ServerResponse>();
  /** Followers that have not read all of what they were sent, and have missed a state since. */
  private readonly behind = new Set<http.ServerResponse>();
  private latestText = '';
  private latestLine: Buffer | undefined;
  private latestAdapters = '';
  private sentAt = -Infinity;

  /** Handles a request for the stream. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    this.followers.add(response);
    const end = () => {
      this.followers.delete(response);
      this.behind.delete(response);
    };
    response.on('close', end);
    response.on('error', end);
    response.on('drain', () => {
      if (this.behind.delete(response)) {
        response.write(this.latestLine);
      }
    });
    if (this.latestLine !== undefined) {
      response.write(this.latestLine);
    }
  }

  /**
   * Sends a state that was read at time `now`, in milliseconds, to all
   * followers if it is due.
   */
  publish(view: EngineView, now: number): void {
    const text = `${JSON.stringify(view)}\n`;
    const {adapters: held, answers, awaited, bornAt, leaving, loading} = view;
    const adapters = JSON.stringify([
      view.models,
      view.unusedModels,
      bornAt,
      answers,
      leaving,
      held,
      loading,
      awaited,
    ]);
    const isDue =
      adapters !== this.latestAdapters ||
      (text !== this.latestText && now - this.sentAt >= LOAD_INTERVAL_MS) ||
      now - this.sentAt >= ENGINE_VIEW_MAX_INTERVAL_MS;
    if (!isDue) {
      return;
    }
    const line = Buffer.from(text);
    this.latestText = text;
    this.latestLine = line;
    this.latestAdapters = adapters;
    this.sentAt = now;
    this.followers.forEach(follower => {
      if (follower.writableNeedDrain) {
        this.behind.add(follower);
      } else {
        follower.write(line);
      }
    });
  }

  /** Ends all streams. */
  stop(): void {
    this.followers.forEach(follower => follower.destroy());
  }
}
