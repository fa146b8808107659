import type http from 'node:http';
import type {Socket} from 'node:net';
import {constants, createGzip, type Gzip} from 'node:zlib';
import type {LoadReportStore} from '@marigoldspur/membership';
import type {LoadChanges} from '@marigoldspur/messages';
import {ByteRateLimiter} from './byte-rate-limiter.js';

/** Options of a server of load reports. */
export interface LoadReportServerOptions {
  /** What all streams together may send. */
  readonly bytesPerSecond?: number;
}

/** Time in which changes are gathered into one message, in milliseconds. */
const GATHER_MS = 100;
/** Longest time between two messages of a stream, in milliseconds. */
const IDLE_MS = 1_000;
/** Three quarters of what a node may spend on control. */
const BYTES_PER_SECOND = 17_000;
/** A follower that left this much unread gets no more until it reads, in bytes. */
const MAX_UNREAD_BYTES = 262_144;
/** Level and memory of the compression: whole reports repeat what the ones before them said. */
const COMPRESSION = {level: 4, memLevel: 5};
const NO_CHANGES: LoadChanges = {changed: [], removed: []};

interface Follower {
  readonly response: http.ServerResponse;
  readonly gzip: Gzip;
  readonly socket: Socket;
  /** Bytes of the socket that the budget has counted. */
  counted: number;
  version: number;
  sentAt: number;
}

/**
 * Streams the load reports that a relay hears to the entries of its region, as
 * server-sent events under gzip. All streams share one budget of bytes: with many
 * followers messages come rarer, and each has only the latest of what changed.
 */
export class LoadReportServer {
  private readonly followers = new Set<Follower>();
  private readonly budget: ByteRateLimiter;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly board: LoadReportStore,
    options: LoadReportServerOptions = {},
  ) {
    this.budget = new ByteRateLimiter(
      options.bytesPerSecond ?? BYTES_PER_SECOND,
    );
  }

  /** Answers a request to `LOAD_REPORTS_PATH`. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'content-encoding': 'gzip',
    });
    const gzip = createGzip(COMPRESSION);
    const {socket} = request;
    const counted = socket.bytesWritten;
    const start = {version: -1, sentAt: -Infinity};
    const follower = {response, gzip, socket, counted, ...start};
    gzip.on('data', (chunk: Buffer) => response.write(chunk));
    response.on('close', () => this.end(follower));
    this.followers.add(follower);
    this.tell(follower, performance.now());
    this.timer ??= setInterval(() => this.round(performance.now()), GATHER_MS);
  }

  /** Ends all streams. */
  stop(): void {
    this.followers.forEach(follower => {
      follower.response.destroy();
      this.end(follower);
    });
  }

  private round(now: number): void {
    this.followers.forEach(follower => this.count(follower));
    const mayTell = this.budget.canSend(now);
    for (const follower of this.followers) {
      if (mayTell && follower.version !== this.board.version) {
        this.tell(follower, now);
      } else if (now - follower.sentAt >= IDLE_MS) {
        this.send(follower, NO_CHANGES, now);
      }
    }
  }

  private count(follower: Follower): void {
    const {bytesWritten} = follower.socket;
    this.budget.recordSent(bytesWritten - follower.counted);
    follower.counted = bytesWritten;
  }

  private tell(follower: Follower, now: number): void {
    if (follower.response.writableLength <= MAX_UNREAD_BYTES) {
      this.send(follower, this.board.changesAfter(follower.version), now);
      follower.version = this.board.version;
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
