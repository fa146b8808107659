import type http from 'node:http';
import type {Socket} from 'node:net';
import {constants, createGzip, type Gzip} from 'node:zlib';
import type {LoadReportStore} from '@marigoldspur/membership';
import type {LoadChanges} from '@marigoldspur/messages';
import {ByteRateLimiter} from './byte-rate-limiter.js';

/** Options of a load report server. */
export interface LoadReportServerOptions {
  /** Rate limit for all streams together. */
  readonly bytesPerSecond?: number;
}

/** Time for which changes are collected into one message, in milliseconds. */
const BATCH_INTERVAL_MS = 100;
/** Maximum time between two messages of a stream, in milliseconds. */
const KEEPALIVE_INTERVAL_MS = 1_000;
/** Three quarters of a node's bandwidth budget for control traffic. */
const DEFAULT_BYTES_PER_SECOND = 17_000;
/** A follower with more unread bytes than this receives no changes until it reads. */
const MAX_UNREAD_BYTES = 262_144;
/** Compression level and memory; reports compress well because they mostly repeat earlier ones. */
const COMPRESSION = {level: 4, memLevel: 5};
const NO_CHANGES: LoadChanges = {changed: [], removed: []};

interface Follower {
  readonly response: http.ServerResponse;
  readonly gzip: Gzip;
  readonly socket: Socket;
  /** Bytes written to the socket that the rate limiter has counted. */
  countedBytes: number;
  version: number;
  sentAt: number;
}

/**
 * Streams the load reports received by a relay to the entries of its region, as
 * gzip-compressed server-sent events. All streams share one rate limit: with many
 * followers, messages are less frequent and contain only the latest changes.
 */
export class LoadReportServer {
  private readonly followers = new Set<Follower>();
  private readonly rateLimiter: ByteRateLimiter;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly store: LoadReportStore,
    options: LoadReportServerOptions = {},
  ) {
    this.rateLimiter = new ByteRateLimiter(
      options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND,
    );
  }

  /** Handles a request to `LOAD_REPORTS_PATH`. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'content-encoding': 'gzip',
    });
    const gzip = createGzip(COMPRESSION);
    const {socket} = request;
    const countedBytes = socket.bytesWritten;
    const start = {version: -1, sentAt: -Infinity};
    const follower = {response, gzip, socket, countedBytes, ...start};
    gzip.on('data', (chunk: Buffer) => response.write(chunk));
    response.on('close', () => this.end(follower));
    this.followers.add(follower);
    this.sendChanges(follower, performance.now());
    this.timer ??= setInterval(
      () => this.sendUpdates(performance.now()),
      BATCH_INTERVAL_MS,
    );
  }

  /** Ends all streams. */
  stop(): void {
    this.followers.forEach(follower => {
      follower.response.destroy();
      this.end(follower);
    });
  }

  private sendUpdates(now: number): void {
    this.followers.forEach(follower => this.countSentBytes(follower));
    const canSend = this.rateLimiter.canSend(now);
    for (const follower of this.followers) {
      if (canSend && follower.version !== this.store.version) {
        this.sendChanges(follower, now);
      } else if (now - follower.sentAt >= KEEPALIVE_INTERVAL_MS) {
        this.send(follower, NO_CHANGES, now);
      }
    }
  }

  private countSentBytes(follower: Follower): void {
    const {bytesWritten} = follower.socket;
    this.rateLimiter.recordSent(bytesWritten - follower.countedBytes);
    follower.countedBytes = bytesWritten;
  }

  private sendChanges(follower: Follower, now: number): void {
    if (follower.response.writableLength <= MAX_UNREAD_BYTES) {
      this.send(follower, this.store.changesAfter(follower.version), now);
      follower.version = this.store.version;
    }
  }

  private send(follower: Follower, changes: LoadChanges, now: number): void {
    follower.sentAt = now;
    follower.gzip.write(`data: ${JSON.stringify(changes)}\n\n`);
    follower.gzip.flush(constants.Z_SYNC_FLUSH);
  }

  private end(follower: Follower): void {
    this.followers.delete(follower);
    follower.gzip.close();
    if (this.followers.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}
