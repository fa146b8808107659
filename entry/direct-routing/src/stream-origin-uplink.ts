import type http from 'node:http';
import {STREAM_ORIGINS_PATH, type StreamOrigin} from '@marigoldspur/deployment';
import {openRequest} from '@marigoldspur/http-link';

/** Options of an uplink. */
export interface StreamOriginUplinkOptions {
  /** Base URL of the replica of control. */
  readonly replica: string;
  readonly agent: http.Agent;
  /** Returns the origins that the replica receives again after the connection was lost. */
  readonly recent: () => readonly StreamOrigin[];
  /** Called with the reason when the connection was lost. */
  readonly onLost: (reason: string) => void;
}

/** An uplink with more unsent bytes than this is closed; the next origin opens it anew. */
const MAX_UNSENT_BYTES = 4_194_304;

/**
 * Sends origins of streams to one replica of control over a long-lived request, one message a
 * line. Nothing waits for an answer, so that little is lost with an entry that is killed.
 */
export class StreamOriginUplink {
  private request: http.ClientRequest | undefined;
  private wasLost = false;

  constructor(private readonly options: StreamOriginUplinkOptions) {}

  /** Sends origins, and the recent ones if the connection was lost before. */
  send(origins: readonly StreamOrigin[]): void {
    const request = (this.request ??= this.open());
    const sent = this.wasLost ? this.options.recent() : origins;
    this.wasLost = false;
    request.write(`${JSON.stringify({origins: sent})}\n`);
    if (request.writableLength > MAX_UNSENT_BYTES) {
      request.destroy(new Error('the replica does not read'));
    }
  }

  /** Closes the connection; the next origins open a new one. */
  close(): void {
    const {request} = this;
    this.request = undefined;
    request?.destroy();
  }

  private open(): http.ClientRequest {
    const {agent, onLost, replica} = this.options;
    const request = openRequest({
      url: new URL(STREAM_ORIGINS_PATH, replica),
      method: 'POST',
      headers: {'content-type': 'application/x-ndjson'},
      agent,
    });
    const lose = (reason: string) => {
      if (this.request === request) {
        this.request = undefined;
        this.wasLost = true;
        request.destroy();
        onLost(reason);
      }
    };
    request.on('error', error => lose(error.message));
    request.on('close', () => lose('the connection closed'));
    request.on('response', response => {
      response.on('error', error => lose(error.message));
      response.resume();
    });
    return request;
  }
}
