import net from 'node:net';
import {closeServer, listen, type Address} from '@marigoldspur/http-link';

/** Bytes of one connection that may wait for their turn before their sender is paused. */
const MAX_WAITING_BYTES = 65_536;
const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1_000;

/**
 * The link of one host with a limited bandwidth, which all of its proxied connections share.
 * Each direction has the whole bandwidth.
 */
export class NarrowLink {
  private readonly servers: net.Server[] = [];
  private readonly sockets = new Set<net.Socket>();
  /** Connections that carry nothing any more. */
  private readonly silent = new WeakSet<net.Socket>();
  private readonly inbound: Lane;
  private readonly outbound: Lane;

  constructor(bitsPerSecond: number) {
    this.inbound = new Lane(bitsPerSecond);
    this.outbound = new Lane(bitsPerSecond);
  }

  /** Bytes that have arrived at the host so far. */
  get receivedBytes(): number {
    return this.inbound.bytes;
  }

  /** Listens at `from`, in place of `to`, for connections of the host. */
  async forward(from: Address, to: Address): Promise<void> {
    const server = net.createServer(local => {
      const remote = net.connect(to.port, to.host);
      this.pipe(local, remote, this.outbound);
      this.pipe(remote, local, this.inbound);
    });
    this.servers.push(server);
    await listen(server, from);
  }

  /** Makes the open connections carry nothing from now on, without closing them; new ones work. */
  silenceConnections(): void {
    this.sockets.forEach(socket => this.silent.add(socket));
  }

  /** Closes the connections and stops listening. */
  async close(): Promise<void> {
    this.sockets.forEach(socket => socket.destroy());
    await Promise.all(this.servers.map(server => closeServer(server)));
  }

  private pipe(source: net.Socket, sink: net.Socket, lane: Lane): void {
    let waitingBytes = 0;
    this.sockets.add(source);
    source.on('error', () => source.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      sink.destroy();
    });
    source.on('data', chunk => {
      if (this.silent.has(source)) {
        return;
      }
      waitingBytes += chunk.length;
      if (waitingBytes > MAX_WAITING_BYTES) {
        source.pause();
      }
      lane.send(chunk.length, performance.now(), () => {
        waitingBytes -= chunk.length;
        sink.write(chunk);
        source.resume();
      });
    });
  }
}

/** One direction of a link. */
class Lane {
  bytes = 0;
  private readonly waiting: Array<{readonly at: number; deliver(): void}> = [];
  private timer: NodeJS.Timeout | undefined;
  private freeAt = 0;

  constructor(private readonly bitsPerSecond: number) {}

  /** Calls `deliver` once `size` bytes have passed, after all that were sent before them. */
  send(size: number, now: number, deliver: () => void): void {
    const ms = (size * BITS_PER_BYTE * MS_PER_SECOND) / this.bitsPerSecond;
    this.freeAt = Math.max(now, this.freeAt) + ms;
    this.bytes += size;
    this.waiting.push({at: this.freeAt, deliver});
    this.schedule(now);
  }

  private schedule(now: number): void {
    if (this.timer === undefined && this.waiting.length > 0) {
      this.timer = setTimeout(() => {
        this.timer = undefined;
        this.deliverDue(performance.now());
      }, this.waiting[0].at - now);
    }
  }

  private deliverDue(now: number): void {
    while (this.waiting.length > 0 && this.waiting[0].at <= now) {
      this.waiting.shift()!.deliver();
    }
    this.schedule(now);
  }
}
